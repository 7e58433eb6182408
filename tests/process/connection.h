#ifndef GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
#define GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentianroute::testing {

/// @brief Calls recv() and retries on EINTR. With SO_RCVTIMEO set, recv() is
/// not restarted after a signal, and EINTR would be taken for the end of the
/// response.
/// @return bytes read; 0 at the end of the stream; negative on an error
ssize_t Receive(int fd, void* buffer, std::size_t size);

/// @brief A TCP connection on which a test sends arbitrary bytes.
class Connection {
 public:
  explicit Connection(std::uint16_t port);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connected() const { return fd_ >= 0; }
  void Send(std::string_view text) const;
  /// @brief Posts to a service with the API key of the tests; the connection
  /// stays open.
  void Post(const std::string& service,
            const std::string& body,
            const std::string& headers = "") const;
  /// @brief Reads until the data ends with `mark`, or to the end of the stream.
  /// @return all that was read
  std::string ReadUntil(std::string_view mark) const;
  /// @brief Discards data until none arrives for that long.
  void ReadUntilIdle(int milliseconds) const;
  /// @brief Reads one response with a content-length.
  /// @return its head in lower case, followed by its body
  std::string ReadResponse() const;

 private:
  int fd_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
