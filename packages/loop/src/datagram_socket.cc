#include "gentianroute/loop/datagram_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"

namespace gentianroute {
namespace {

constexpr std::size_t kMaxMessageBytes = 64 * 1024;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop,
                               std::string_view address,
                               std::uint16_t port,
                               Receiver receiver)
    : receiver_(std::move(receiver)),
      descriptor_(
          socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  auto local = ParseIpv4Address(address, port);
  const bool bound =
      local && bind(descriptor_, reinterpret_cast<sockaddr*>(&*local),
                    sizeof(*local)) == 0;
  if (!bound) {
    const std::string reason =
        local ? std::strerror(errno) : "not an IPv4 address";
    close(descriptor_);
    throw std::runtime_error("cannot receive datagrams on " +
                             std::string(address) + ":" + std::to_string(port) +
                             ": " + reason);
  }
  socket_ = h2o_evloop_socket_create(loop.h2o(), descriptor_,
                                     H2O_SOCKET_FLAG_DONT_READ);
  socket_->data = this;
  h2o_socket_read_start(socket_, &DatagramSocket::OnReadable);
}

DatagramSocket::~DatagramSocket() {
  h2o_socket_close(socket_);
}

void DatagramSocket::Send(std::string_view address,
                          std::uint16_t port,
                          std::span<const std::byte> message) {
  auto target = ParseIpv4Address(address, port);
  if (target) {
    sendto(descriptor_, message.data(), message.size(), MSG_DONTWAIT,
           reinterpret_cast<sockaddr*>(&*target), sizeof(*target));
  }
}

void DatagramSocket::OnReadable(h2o_socket_t* socket, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* self = static_cast<DatagramSocket*>(socket->data);
  static std::array<std::byte, kMaxMessageBytes> buffer;
  while (true) {
    const ssize_t size =
        recv(self->descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0) {
      return;
    }
    self->receiver_({buffer.data(), static_cast<std::size_t>(size)});
  }
}

}  // namespace gentianroute
