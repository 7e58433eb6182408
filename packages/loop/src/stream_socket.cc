#include "gentianroute/loop/stream_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/container/small_vector.hpp>
#include <cerrno>
#include <utility>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"
#include "gentianroute/loop/socket_options.h"

namespace gentianroute {
namespace {

/// Most bytes that are read for one event of the loop. More would let one
/// sender delay all others, and take memory that nobody has granted.
constexpr std::size_t kMaxReadBytes = 64 * 1024;

/// Input of the socket that is being read; the loop has one thread, and
/// observers don't run it.
std::array<char, kMaxReadBytes>& ReadBuffer() {
  static std::array<char, kMaxReadBytes> buffer;
  return buffer;
}

ssize_t ReadAvailable(int descriptor) {
  for (;;) {
    const ssize_t bytes =
        read(descriptor, ReadBuffer().data(), ReadBuffer().size());
    if (bytes >= 0 || errno != EINTR) {
      return bytes;
    }
  }
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

}  // namespace

StreamSocket::StreamSocket(h2o_socket_t* accepted, Observer& observer)
    : observer_(observer), socket_(accepted) {
  StartReading();
}

StreamSocket::StreamSocket(EventLoop& loop,
                           std::string_view address,
                           std::uint16_t port,
                           Observer& observer)
    : observer_(observer) {
  auto target = ParseIpv4Address(address, port);
  if (!target) {
    return;
  }
  socket_ =
      h2o_socket_connect(loop.h2o(), reinterpret_cast<sockaddr*>(&*target),
                         sizeof(*target), &StreamSocket::OnConnect);
  if (socket_ != nullptr) {
    socket_->data = this;
  }
}

StreamSocket::~StreamSocket() {
  if (destroyed_ != nullptr) {
    *destroyed_ = true;
  }
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

void StreamSocket::StartReading() {
  socket_->data = this;
  connected_ = true;
  EnableDeadPeerDetection(h2o_socket_get_fd(socket_), DeadPeerTimeout::kServer);
  // h2o would read until nothing is left, into a buffer that keeps its size.
  h2o_socket_dont_read(socket_, 1);
  if (!paused_) {
    h2o_socket_read_start(socket_, &StreamSocket::OnReadable);
  }
}

void StreamSocket::PauseReading() {
  if (!std::exchange(paused_, true) && connected_) {
    h2o_socket_read_stop(socket_);
  }
}

void StreamSocket::ResumeReading() {
  if (std::exchange(paused_, false) && connected_) {
    h2o_socket_read_start(socket_, &StreamSocket::OnReadable);
  }
}

void StreamSocket::OnConnect(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  if (error != nullptr) {
    self->observer_.OnEnd(StreamEnd::kBroken);
    return;
  }
  self->StartReading();
  bool destroyed = false;
  self->destroyed_ = &destroyed;
  self->observer_.OnConnected();
  if (destroyed) {
    return;
  }
  self->destroyed_ = nullptr;
  self->Flush();
}

void StreamSocket::OnReadable(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  if (error != nullptr) {
    self->OnReadEnd(StreamEnd::kBroken);
    return;
  }
  const ssize_t bytes = ReadAvailable(h2o_socket_get_fd(socket));
  if (bytes > 0) {
    self->observer_.OnData(
        {ReadBuffer().data(), static_cast<std::size_t>(bytes)});
    return;
  }
  if (bytes == 0) {
    self->OnNothingLeft();
  } else if (!WouldBlock()) {
    self->OnReadEnd(StreamEnd::kBroken);
  }
}

void StreamSocket::OnNothingLeft() {
  // A write that fails because of a reset takes the error off the socket, which
  // then reads like one that was closed in order. h2o reports the failure after
  // this callback, and calls it again for as long as the socket is readable.
  if (writing_ && !std::exchange(awaits_write_result_, true)) {
    return;
  }
  OnReadEnd(write_failed_ ? StreamEnd::kBroken : StreamEnd::kClosed);
}

void StreamSocket::OnReadEnd(StreamEnd end) {
  h2o_socket_read_stop(socket_);
  observer_.OnEnd(end);
}

void StreamSocket::OnWritten(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  self->writing_ = false;
  for (const Piece& piece : self->in_flight_) {
    self->unsent_bytes_ -= piece.view().size();
  }
  self->in_flight_.clear();
  if (error != nullptr) {
    // OnReadable reports the end, after what has been received before it.
    self->write_failed_ = true;
    self->queued_.clear();
    self->unsent_bytes_ = 0;
    self->ResumeReading();
    return;
  }
  if (!self->queued_.empty()) {
    self->Flush();
    return;
  }
  self->observer_.OnDrained();
}

void StreamSocket::Write(std::string_view data) {
  unsent_bytes_ += data.size();
  if (queued_.empty() || queued_.back().body != nullptr) {
    queued_.emplace_back();
  }
  queued_.back().bytes.append(data);
  Flush();
}

void StreamSocket::WriteOwned(std::string data, SharedBodyPtr body) {
  unsent_bytes_ += data.size();
  queued_.push_back({std::move(data), nullptr});
  if (body != nullptr) {
    unsent_bytes_ += body->size();
    queued_.push_back({{}, std::move(body)});
  }
  Flush();
}

void StreamSocket::ResetOnClose() {
  if (socket_ != nullptr) {
    constexpr linger kReset = {1, 0};
    setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &kReset,
               sizeof(kReset));
  }
}

void StreamSocket::ShutdownWrite() {
  if (socket_ != nullptr) {
    shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
  }
}

void StreamSocket::Flush() {
  if (!connected_ || writing_ || queued_.empty()) {
    return;
  }
  std::swap(in_flight_, queued_);
  writing_ = true;
  // Most writes are a head, or a head and a body.
  boost::container::small_vector<h2o_iovec_t, 2> buffers;
  for (const Piece& piece : in_flight_) {
    const std::string_view view = piece.view();
    buffers.push_back(h2o_iovec_init(view.data(), view.size()));
  }
  h2o_socket_write(socket_, buffers.data(), buffers.size(),
                   &StreamSocket::OnWritten);
}

}  // namespace gentianroute
