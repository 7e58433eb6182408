#ifndef GENTIANROUTE_TESTS_PROCESS_SLOW_READER_H_
#define GENTIANROUTE_TESTS_PROCESS_SLOW_READER_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gentianroute::testing {

/// @brief A caller that sends one request and reads only when it is told to.
class SlowReader {
 public:
  /// @throws std::runtime_error if the request can't be sent
  SlowReader(std::uint16_t port, std::string_view request)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    constexpr int kReceiveBuffer = 64 * 1024;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool sent = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0 &&
                      send(fd_, request.data(), request.size(), MSG_NOSIGNAL) ==
                          static_cast<ssize_t>(request.size());
    if (!sent) {
      throw std::runtime_error("the request can't be sent");
    }
  }
  ~SlowReader() { close(fd_); }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  /// @brief Reads at most `max_bytes` of what has arrived.
  void Read(std::size_t max_bytes) {
    std::array<char, 16 * 1024> part{};
    while (max_bytes > 0) {
      const ssize_t count = recv(
          fd_, part.data(), std::min(max_bytes, part.size()), MSG_DONTWAIT);
      closed_ = closed_ || count == 0;
      if (count <= 0) {
        return;
      }
      const auto bytes = static_cast<std::size_t>(count);
      received_ += bytes;
      max_bytes -= bytes;
      tail_.append(part.data(), bytes);
      tail_.erase(0, tail_.size() - std::min(tail_.size(), kTailBytes));
    }
  }

  std::size_t received() const { return received_; }
  /// @brief Whether the server has closed the connection and all is read.
  bool closed() const { return closed_; }
  bool EndsWith(std::string_view end) const { return tail_.ends_with(end); }

 private:
  static constexpr std::size_t kTailBytes = 16;

  int fd_;
  std::size_t received_ = 0;
  bool closed_ = false;
  std::string tail_;  ///< of what was read
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_SLOW_READER_H_
