#ifndef GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
#define GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianroute::testing {

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
  std::string ReadTo(std::string_view mark) const;
  /// @brief Reads what comes, until none came for that long.
  void ReadFor(int milliseconds) const;
  /// @brief Reads one answer that states its length.
  std::string ReadAnswer() const;

 private:
  int fd_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_CONNECTION_H_
