#ifndef GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
#define GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentianroute::testing {

/// @brief Reads what has come, and goes on when a signal interrupts it: with a
/// time limit set, recv() is never restarted and says EINTR, which would pass
/// for the end of the answer.
/// @return bytes read; 0 at the end; below 0 on an error
ssize_t Receive(int fd, void* buffer, std::size_t size);

/// @brief A connection that a test holds open, to send what it likes.
class Connection {
 public:
  explicit Connection(std::uint16_t port);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connected() const { return fd_ >= 0; }
  void Send(std::string_view text) const;
  /// @brief Posts to a service as the test's subscriber, kept alive.
  void Post(const std::string& service,
            const std::string& body,
            const std::string& headers = "") const;
  /// @brief Reads until `mark` came, or the end.
  /// @return all that was read
  std::string ReadUntil(std::string_view mark) const;
  /// @brief Reads what comes, until none came for that long.
  void ReadUntilIdle(int milliseconds) const;
  /// @brief Reads one answer that states its length.
  std::string ReadResponse() const;

 private:
  int fd_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
