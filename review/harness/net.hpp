// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
#ifndef REVIEW_HARNESS_NET_HPP_
#define REVIEW_HARNESS_NET_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline long NowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}
inline void SleepMs(long ms) {
  std::this_thread::sleep_for(Ms(std::max(0L, ms)));
}

struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in Raw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

/// A port that is free for TCP and UDP at an address at the moment.
inline int FreePort(const std::string& ip) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = Raw({ip, 0});
    bool free = bind(tcp, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) == 0;
    socklen_t size = sizeof(raw);
    getsockname(tcp, reinterpret_cast<sockaddr*>(&raw), &size);
    free = free && bind(udp, reinterpret_cast<sockaddr*>(&raw), size) == 0;
    close(tcp);
    close(udp);
    if (free) {
      return ntohs(raw.sin_port);
    }
  }
  throw std::runtime_error("no free port");
}

/// A connected socket with buffered reading.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Null if the connection is not accepted.
  /// @param receive_buffer 0: as the system has it
  static std::unique_ptr<Stream> Connect(const Address& address,
                                         int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    const sockaddr_in raw = Raw(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Stream>(fd);
  }

  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  /// Reads more; false at the end of the connection or of the time.
  bool Fill(long timeout_ms) {
    pollfd entry{fd_, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(timeout_ms)) <= 0) {
      timed_out_ = true;
      return false;
    }
    char part[65536];
    const ssize_t count = recv(fd_, part, sizeof(part), 0);
    if (count <= 0) {
      ended_ = true;
      reset_ = count < 0;
      return false;
    }
    buffer_.append(part, static_cast<std::size_t>(count));
    return true;
  }
  std::string& buffer() { return buffer_; }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }
  int fd() const { return fd_; }
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }
  /// Closes with a reset.
  void Reset() {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool reset_ = false;
  bool timed_out_ = false;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// One HTTP message. Field names are in lower case.
struct Message {
  std::string start;  ///< the first line
  std::map<std::string, std::string> fields;
  std::string body;
  bool whole = false;

  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
  std::string field(const std::string& name) const {
    const auto found = fields.find(Lower(name));
    return found == fields.end() ? "" : found->second;
  }
};

/// Reads one message; `whole` is false if the connection or the time ends
/// before. @param is_answer an answer may end with its connection
inline Message ReadMessage(Stream& stream, bool is_answer, long timeout_ms) {
  const long end = NowMs() + timeout_ms;
  Message message;
  std::string& in = stream.buffer();
  const auto fill = [&] { return NowMs() < end && stream.Fill(end - NowMs()); };
  std::size_t head = 0;
  while ((head = in.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return message;
    }
  }
  std::size_t at = in.find("\r\n");
  message.start = in.substr(0, at);
  while (at < head) {
    at += 2;
    const std::size_t line_end = in.find("\r\n", at);
    const std::string line = in.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.fields[Lower(line.substr(0, colon))] = value;
    at = line_end;
  }
  in.erase(0, head + 4);
  if (Lower(message.field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = in.find("\r\n")) == std::string::npos) {
        if (!fill()) {
          return message;
        }
      }
      const std::size_t size = std::stoul(in, nullptr, 16);
      while (in.size() < line_end + 2 + size + 2) {
        if (!fill()) {
          message.body += in.substr(std::min(in.size(), line_end + 2));
          return message;
        }
      }
      message.body += in.substr(line_end + 2, size);
      in.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        message.whole = true;
        return message;
      }
    }
  }
  const bool has_length = !message.field("content-length").empty();
  if (!has_length && is_answer) {
    while (fill()) {
    }
    message.body = std::exchange(in, {});
    message.whole = stream.ended() && !stream.reset();
    return message;
  }
  const std::size_t length =
      has_length ? std::stoul(message.field("content-length")) : 0;
  while (in.size() < length) {
    if (!fill()) {
      message.body = std::exchange(in, {});
      return message;
    }
  }
  message.body = in.substr(0, length);
  in.erase(0, length);
  message.whole = true;
  return message;
}

/// Serves connections, each on a thread of its own.
class Server {
 public:
  /// Called for each connection until it returns.
  using Handler = std::function<void(Stream&)>;

  Server(std::string ip, Handler handler) : handler_(std::move(handler)) {
    address_.ip = std::move(ip);
    Open();
  }
  ~Server() { Stop(); }

  const Address& address() const { return address_; }
  /// Listens again at the same address after Stop().
  void Open() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in raw = Raw(address_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) != 0 ||
        listen(fd_, 512) != 0) {
      throw std::runtime_error("can't listen on " + address_.text());
    }
    socklen_t size = sizeof(raw);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
    address_.port = ntohs(raw.sin_port);
    stopped_ = false;
    acceptor_ = std::thread([this] { Accept(); });
  }
  /// Ends like a process that is killed: all connections are reset or closed.
  void Stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    close(fd_);
    {
      const std::lock_guard lock(mutex_);
      for (Stream* stream : open_) {
        stream->Shutdown();
      }
    }
    while (threads_ > 0) {
      SleepMs(1);
    }
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      ++threads_;
      std::thread([this, fd] {
        {
          Stream stream(fd);
          {
            const std::lock_guard lock(mutex_);
            open_.insert(&stream);
          }
          handler_(stream);
          const std::lock_guard lock(mutex_);
          open_.erase(&stream);
        }
        --threads_;
      }).detach();
    }
  }

  Address address_;
  Handler handler_;
  int fd_ = -1;
  std::thread acceptor_;
  std::atomic<bool> stopped_{true};
  std::atomic<int> threads_{0};
  std::mutex mutex_;
  std::set<Stream*> open_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_NET_HPP_
