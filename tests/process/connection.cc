#include "connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>

namespace gentianroute::testing {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLength = "content-length: ";

}  // namespace

ssize_t Receive(int fd, void* buffer, std::size_t size) {
  ssize_t got = 0;
  do {
    got = recv(fd, buffer, size, 0);
  } while (got < 0 && errno == EINTR);
  return got;
}

Connection::Connection(std::uint16_t port)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  constexpr int kSeconds = 30;
  const timeval timeout{kSeconds, 0};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd_);
    fd_ = -1;
  }
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void Connection::Send(std::string_view text) const {
  [[maybe_unused]] const ssize_t sent =
      send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
}

void Connection::Post(const std::string& service,
                      const std::string& body,
                      const std::string& headers) const {
  Send("POST /v1/services/" + service + " HTTP/1.1\r\nhost: test\r\n" +
       "authorization: Bearer test-key\r\n" + headers +
       "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string Connection::ReadUntil(std::string_view mark) const {
  std::string text;
  char c = 0;
  while (!text.ends_with(mark) && Receive(fd_, &c, 1) == 1) {
    text += c;
  }
  return text;
}

void Connection::ReadUntilIdle(int milliseconds) const {
  pollfd readable{fd_, POLLIN, 0};
  char buffer[4096];
  while (poll(&readable, 1, milliseconds) == 1 &&
         recv(fd_, buffer, sizeof(buffer), 0) > 0) {
  }
}

std::string Connection::ReadResponse() const {
  std::string text = ReadUntil(kHeadEnd);
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  const std::size_t at = text.find(kLength);
  if (at == std::string::npos) {
    return text;
  }
  std::size_t left = std::stoul(text.substr(at + kLength.size()));
  char c = 0;
  while (left > 0 && Receive(fd_, &c, 1) == 1) {
    text += c;
    --left;
  }
  return text;
}

}  // namespace gentianroute::testing
