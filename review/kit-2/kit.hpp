// Small stand-ins for the scripts of the second review: the platform's store,
// raw HTTP/1.1 connections for engines and clients, and daemons as processes.
// Threads and blocking sockets throughout; every wait has a time limit.

#ifndef REVIEW_KIT_2_KIT_H_
#define REVIEW_KIT_2_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Whether the case plays its disruption; TROUBLE=0 leaves it out.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// record.txt ----------------------------------------------------------------

inline std::FILE*& RecordFile() {
  static std::FILE* file = nullptr;
  return file;
}

__attribute__((format(printf, 1, 2))) inline void Record(const char* format,
                                                         ...) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  va_list list;
  va_start(list, format);
  char text[2048];
  std::vsnprintf(text, sizeof text, format, list);
  va_end(list);
  std::FILE* file = RecordFile() != nullptr ? RecordFile() : stdout;
  std::fprintf(file, "%8.3f %s\n", Now(), text);
  std::fflush(file);
}

/// Opens record.txt in the folder of the case.
inline void Begin(const char* folder) {
  signal(SIGPIPE, SIG_IGN);
  RecordFile() = std::fopen((std::string(folder) + "/record.txt").c_str(), "w");
  Record("trouble=%d", Trouble() ? 1 : 0);
}

// Connections ---------------------------------------------------------------

struct Head {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& field) {
      return strcasecmp(field.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int Status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
};

enum class End { kOpen, kClosed, kReset, kTimeout };

inline const char* NameOf(End end) {
  static const char* names[] = {"open", "closed", "reset", "timeout"};
  return names[static_cast<int>(end)];
}

/// A blocking TCP connection. `end` says why the last read stopped.
class Conn {
 public:
  explicit Conn(int descriptor) : fd(descriptor) {}
  Conn(Conn&& other) noexcept
      : fd(std::exchange(other.fd, -1)), input(std::move(other.input)) {}
  Conn(const Conn&) = delete;
  ~Conn() { Close(); }

  void Close() {
    if (fd >= 0) {
      close(std::exchange(fd, -1));
    }
  }
  void Reset() {
    const linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  bool Write(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n =
          send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Adds bytes to `input`.
  bool ReadMore(double until) {
    for (;;) {
      const int left = static_cast<int>((until - Now()) * 1000);
      pollfd wait = {fd, POLLIN, 0};
      if (left <= 0 || poll(&wait, 1, left) == 0) {
        end = End::kTimeout;
        return false;
      }
      char bytes[65536];
      const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
      if (n > 0) {
        input.append(bytes, static_cast<std::size_t>(n));
        return true;
      }
      if (n < 0 && errno == EINTR) {
        continue;
      }
      end = n == 0 ? End::kClosed : End::kReset;
      return false;
    }
  }
  bool ReadHead(Head& head, double until) {
    std::size_t at;
    while ((at = input.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(until)) {
        return false;
      }
    }
    head = {};
    std::string text = input.substr(0, at);
    input.erase(0, at + 4);
    std::size_t from = text.find("\r\n");
    head.start = text.substr(0, from);
    while (from != std::string::npos) {
      from += 2;
      const std::size_t to = text.find("\r\n", from);
      const std::string line = text.substr(from, to - from);
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      head.fields.emplace_back(line.substr(0, colon), line.substr(value));
      from = to;
    }
    return true;
  }
  bool ReadBytes(std::size_t count, std::string& bytes, double until) {
    while (input.size() < count) {
      if (!ReadMore(until)) {
        return false;
      }
    }
    bytes = input.substr(0, count);
    input.erase(0, count);
    return true;
  }
  /// Reads a body by its length or chunks, or to the end of the connection.
  /// @return whether it came to its end
  bool ReadBody(const Head& head, std::string& body, double until) {
    if (head.Has("Content-Length")) {
      const std::size_t count =
          std::strtoull(head.Get("Content-Length").c_str(), nullptr, 10);
      if (!ReadBytes(count, body, until)) {
        body = input;
        return false;
      }
      return true;
    }
    if (head.Has("Transfer-Encoding")) {
      for (;;) {
        std::size_t at;
        while ((at = input.find("\r\n")) == std::string::npos) {
          if (!ReadMore(until)) {
            return false;
          }
        }
        const std::size_t count = std::strtoull(input.c_str(), nullptr, 16);
        input.erase(0, at + 2);
        std::string chunk;
        if (!ReadBytes(count + 2, chunk, until)) {
          return false;
        }
        if (count == 0) {
          return true;
        }
        body += chunk.substr(0, count);
      }
    }
    if (head.start.rfind("HTTP/", 0) != 0) {
      return true;
    }
    while (ReadMore(until)) {
    }
    body = std::exchange(input, "");
    return end == End::kClosed;
  }

  int fd;
  std::string input;
  End end = End::kOpen;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Accepts connections and gives each to a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Conn&)>;

  /// @param receive_bytes size of the receive buffers; 0: the system's
  /// @param port 0: a free one
  /// @param segment_bytes largest segment of a packet; 0: that of the loopback
  explicit Listener(Serve serve,
                    int receive_bytes = 0,
                    const std::string& ip = "127.0.0.1",
                    int port = 0,
                    int segment_bytes = 0)
      : state_(std::make_shared<State>()), ip_(ip) {
    state_->serve = std::move(serve);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (segment_bytes > 0) {
      setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                 sizeof segment_bytes);
    }
    if (receive_bytes > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof receive_bytes);
    }
    sockaddr_in address = AddressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, 512) != 0) {
      std::_Exit(kCannotRun);
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    fd_ = fd;
    std::thread([state = state_, fd] { Run(state, fd); }).detach();
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

  /// Closes the port only.
  void StopAccepting() {
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }
  /// Closes the port and all connections, as the end of a process does.
  void Stop() {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->stopped = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    for (const int fd : state_->open) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  struct State {
    Serve serve;
    std::mutex mutex;
    bool stopped = false;
    std::vector<int> open;
  };

  static void Run(const std::shared_ptr<State>& state, int fd) {
    for (;;) {
      const int accepted = accept(fd, nullptr, nullptr);
      if (accepted < 0) {
        return;
      }
      std::thread([state, accepted] {
        Conn connection(accepted);
        {
          const std::lock_guard<std::mutex> lock(state->mutex);
          if (state->stopped) {
            return;
          }
          state->open.push_back(accepted);
        }
        state->serve(connection);
        const std::lock_guard<std::mutex> lock(state->mutex);
        std::erase(state->open, accepted);
      }).detach();
    }
  }

  std::shared_ptr<State> state_;
  std::string ip_;
  int fd_ = -1;
  int port_ = 0;
};

/// Whether a port is free for TCP and UDP.
inline bool IsFree(const std::string& ip, int port) {
  bool free = true;
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in address = AddressOf(ip, port);
    free = free &&
           bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
  }
  return free;
}

/// A free port below those that the system gives to outgoing connections.
inline int FreePort(const std::string& ip = "127.0.0.1") {
  static std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 1000; ++i) {
    const int port = 15000 + static_cast<int>(random() % 15000);
    if (IsFree(ip, port)) {
      return port;
    }
  }
  std::_Exit(kCannotRun);
}

/// @param receive_bytes size of the receive buffer; 0: the system's
inline Conn Connect(const std::string& ip, int port, int receive_bytes = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  }
  sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return Conn(-1);
  }
  return Conn(fd);
}

// The platform's store ------------------------------------------------------

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

/// Rows, range reads, the feed and unconditional or conditional writes, as the
/// protocol page has them. It keeps its whole history.
class Store {
 public:
  Store() : listener_([this](Conn& connection) { Serve(connection); }) {}

  std::string address() const { return listener_.address(); }

  std::uint64_t Put(const std::string& table,
                    const std::string& key,
                    const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Set({{"table", table},
         {"part", ""},
         {"key", key},
         {"value", Base64(value)}},
        ++version_);
    changed_.notify_all();
    return version_;
  }
  /// While it is down, it answers 503 to each call: nothing was done.
  void SetDown(bool down) {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Drop(table, "", key, ++version_);
    changed_.notify_all();
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  void Set(json row, std::uint64_t version) {
    row["ver"] = version;
    const Key key{row["table"], row["part"], row["key"]};
    rows_[key] = row;
    history_[version].push_back(row);
  }
  void Drop(const std::string& table,
            const std::string& part,
            const std::string& key,
            std::uint64_t version) {
    rows_.erase({table, part, key});
    history_[version].push_back({{"table", table},
                                 {"part", part},
                                 {"key", key},
                                 {"deleted", true},
                                 {"ver", version}});
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t next = target.find('&', at + 1);
      const std::string item = target.substr(at + 1, next - at - 1);
      const std::size_t equals = item.find('=');
      std::string value;
      for (std::size_t i = equals + 1; i < item.size(); ++i) {
        if (item[i] == '%' && i + 2 < item.size()) {
          value += static_cast<char>(
              std::strtol(item.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += item[i];
        }
      }
      query[item.substr(0, equals)] = value;
      at = next;
    }
    return query;
  }

  void Serve(Conn& connection) {
    Head head;
    while (connection.ReadHead(head, Now() + 300)) {
      std::string body;
      if (!connection.ReadBody(head, body, Now() + 5)) {
        return;
      }
      const auto [status, answer] = Handle(head, body);
      const std::string text = answer.dump();
      if (!connection.Write("HTTP/1.1 " + std::to_string(status) +
                            " X\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
    }
  }

  std::pair<int, json> Handle(const Head& head, const std::string& body) {
    const std::string target = head.Target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    std::unique_lock<std::mutex> lock(mutex_);
    const std::pair<int, json> busy = {503, {{"error", "busy"}}};
    if (down_) {
      return busy;
    }
    json answer = {{"rows", json::array()}};
    if (path == "/gentianroute/rows-get") {
      for (const auto& [key, row] : rows_) {
        const auto& [table, part, name] = key;
        if (table == query["table"] && part == query["part"] &&
            name >= query["from"]) {
          answer["rows"].push_back(row);
        }
      }
      answer["hasMore"] = false;
    } else if (path == "/gentianroute/rows-feed") {
      const std::uint64_t after = std::stoull(query["after"]);
      const auto fill = [&] {
        for (auto at = history_.upper_bound(after); at != history_.end();
             ++at) {
          for (const json& row : at->second) {
            if (row["table"] == query["table"]) {
              answer["rows"].push_back(row);
            }
          }
        }
        return !answer["rows"].empty();
      };
      changed_.wait_for(lock,
                        std::chrono::milliseconds(std::stoi(query["waitMs"])),
                        [&] { return down_ || fill(); });
      if (down_) {
        return busy;
      }
    } else if (path == "/gentianroute/rows-tx") {
      return Write(json::parse(body, nullptr, false));
    } else {
      return {404, {}};
    }
    answer["ver"] = version_;
    answer["nowMs"] = static_cast<int>(Now() * 1000);
    return {200, answer};
  }

  std::pair<int, json> Write(const json& body) {
    json now = json::array();
    bool holds = true;
    for (const json& row : body["expect"]) {
      const auto found = rows_.find(
          {row["table"], row.value("part", std::string()), row["key"]});
      const std::uint64_t version =
          found == rows_.end() ? 0 : found->second["ver"].get<std::uint64_t>();
      holds = holds && version == row["ver"].get<std::uint64_t>();
      if (found != rows_.end()) {
        now.push_back(found->second);
      }
    }
    if (!holds) {
      return {412, {{"rows", now}, {"ver", version_}, {"nowMs", 0}}};
    }
    ++version_;
    for (const json& row : body["puts"]) {
      json kept = row;
      kept["part"] = row.value("part", std::string());
      Set(kept, version_);
    }
    for (const json& row : body["remove"]) {
      Drop(row["table"], row.value("part", std::string()), row["key"],
           version_);
    }
    changed_.notify_all();
    return {200,
            {{"ver", version_}, {"nowMs", static_cast<int>(Now() * 1000)}}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool down_ = false;
  std::uint64_t version_ = 100;
  std::map<Key, json> rows_;
  std::map<std::uint64_t, std::vector<json>> history_;
  Listener listener_;
};

/// The entry of an engine in the store.
inline json EngineEntry(const std::string& service,
                        const std::string& address,
                        int slots) {
  return {{"service", service}, {"address", address}, {"zone", "north-a"},
          {"version", "v1"},    {"slots", slots},     {"state", "ready"},
          {"warmupLeftMs", 0},  {"sequence", 1},      {"born", 1790000000000}};
}

inline json Limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

// Daemons -------------------------------------------------------------------

/// One daemon, started with the command of the deploy file.
class Daemon {
 public:
  /// @param index from 1; part of its name and of its loopback address
  explicit Daemon(const std::string& store, int index = 1)
      : store_(store), index_(index) {
    ip = "127.0.0." + std::to_string(index);
    callers = FreePort(ip);
    readiness = FreePort(ip);
    char folder[] = "/tmp/review-2-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
      std::_Exit(kCannotRun);
    }
    folder_ = folder;
    WriteSettings(true);
    metrics_ = std::to_string(FreePort(ip));
    All().push_back(this);
  }
  static std::vector<Daemon*>& All() {
    static std::vector<Daemon*> all;
    return all;
  }
  /// Kills it and removes its folder.
  void End() {
    Signal(SIGKILL);
    Wait();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      unlink((folder_ + "/local.conf").c_str());
      unlink((folder_ + "/log").c_str());
      rmdir(folder_.c_str());
    }
  }

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      const char* words[] = {"target/apps/gentianroute", "--platform",
                             "--metrics-port", metrics_.c_str(), nullptr};
      const char* variables[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
                                 settings_.c_str(), nullptr};
      execve(words[0], const_cast<char**>(words),
             const_cast<char**>(variables));
      _exit(127);
    }
    Record("daemon %s started", ip.c_str());
    if (std::getenv("KEEP_LOGS") != nullptr) {
      std::fprintf(stderr, "log of %s in %s\n", ip.c_str(), folder_.c_str());
    }
  }
  void Signal(int number) {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Wait() {
    if (pid_ > 0) {
      waitpid(std::exchange(pid_, -1), nullptr, 0);
    }
  }
  /// @return the exit status as of waitpid(), -1 while it runs
  int Ended() {
    int status = -1;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return status;
    }
    return -1;
  }
  bool IsReady() const {
    Conn connection = Connect(ip, readiness);
    Head head;
    return connection.fd >= 0 &&
           connection.Write("GET /gentianroute/readyz HTTP/1.1\r\nHost: " + ip +
                            "\r\nConnection: close\r\n\r\n") &&
           connection.ReadHead(head, Now() + 1) && head.Status() == 200;
  }
  /// Starts it again, as the platform does after its process has ended.
  void Restart() {
    WriteSettings(false);
    Start();
  }
  /// Ends the case if the daemon doesn't become ready.
  void StartAndWait() {
    Start();
    for (int i = 0; i < 150; ++i) {
      if (IsReady()) {
        return;
      }
      SleepMs(100);
    }
    Record("the daemon did not become ready");
    End();
    std::_Exit(kCannotRun);
  }

  std::string ip;
  int callers = 0;
  int readiness = 0;

 private:
  /// Writes the settings file, as the platform does at each start.
  /// @param bootstrap whether the whole system starts for the first time
  void WriteSettings(bool bootstrap) {
    const std::string file = folder_ + "/local.conf";
    const auto at = [this](int port) {
      return ip + ":" + std::to_string(port);
    };
    // The daemons find each other through the store; one range serves all.
    static const int peers = FreePort();
    std::FILE* out = std::fopen(file.c_str(), "w");
    std::fprintf(
        out,
        "nodeName=edge-north-a-%d\nrole=gateway\nmachineClass=edge\n"
        "serves=edge\nip=%s\nzone=north-a\nregion=north\n"
        "zones.north-a=north\nlisten.frontend=%s\nlisten.readiness=%s\n"
        "portRange=%d,%d\nbootstrap=%s\ninTolerance=false\n"
        "limits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\n"
        "limits.maxFds=4100\nlimits.bandwidthMbps=1000.0\n"
        "discovery=platform\nentrypoint=vip\nheartbeatMs=1200\n"
        "contracts=base,drain,config,cost,retry,recover,engine,stream,"
        "tenants,platform,stages\n"
        "faultTolerance.machines=2\nfaultTolerance.zones=0\n"
        "faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
        "bounds.contactMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=4\n"
        "bounds.drainMs=2500\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
        "bounds.configApplyMs=2500\nbounds.rollbackSlackMs=250\n"
        "bounds.partitionMaxMs=6000\nbounds.revokeFailClosed=false\n"
        "bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n"
        "bounds.budgetWindowS=10\nbounds.retryBudgetSlack=58\n"
        "bounds.recoverS=12\nbounds.passMs=300\nbounds.reuseWindowS=9.5\n"
        "platform.address=%s\nplatform.form=table\nplatform.writesPerS=400\n"
        "platform.readsPerS=2000\nplatform.txMs=5.0\n"
        "platform.partitionWritesS=200\nplatform.rowBytes=65536\n"
        "platform.cross=false\nplatform.historyS=20\n"
        "platform.blobBytes=8388608\nplatform.blobMs=25.0\n"
        "platform.blobMbS=80.0\n",
        index_, ip.c_str(), at(callers).c_str(), at(readiness).c_str(), peers,
        peers, bootstrap ? "true" : "false", store_.c_str());
    std::fclose(out);
    settings_ = "GENTIANROUTE_SETTINGS=" + file;
  }

  std::string store_;
  int index_ = 1;
  std::string folder_;
  std::string settings_;
  std::string metrics_;
  pid_t pid_ = -1;
};

// Clients -------------------------------------------------------------------

struct Answer {
  Head head;
  std::string body;
  bool complete = false;
  End end = End::kOpen;
  int status() const { return head.Status(); }
};

inline std::string RequestHead(const std::string& method,
                               const std::string& target,
                               const std::string& id,
                               int deadline_ms,
                               std::size_t body_bytes,
                               const std::vector<std::string>& more = {}) {
  std::string text =
      method + " " + target + " HTTP/1.1\r\nHost: app.example\r\n";
  text += "Gentianroute-Request-Id: " + id + "\r\n";
  text += "Gentianroute-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  for (const std::string& line : more) {
    text += line + "\r\n";
  }
  if (method == "POST") {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  return text + "\r\n";
}

inline Answer ReadAnswer(Conn& connection, double until) {
  Answer answer;
  if (connection.ReadHead(answer.head, until)) {
    answer.complete = connection.ReadBody(answer.head, answer.body, until);
  }
  answer.end = connection.end;
  return answer;
}

// A model engine with streams ------------------------------------------------

/// The number of the last event that a request has, 0 if none. Events have the
/// ids 3, 6, 9 and so on.
inline int LastEventOf(const Head& head) {
  return std::atoi(head.Get("Last-Event-Id").c_str()) / 3;
}

/// Serves a stream of `events` events, one each `pause_ms`, and goes on after
/// the event that the request names. The data of each event names the software
/// version that made it.
inline void ServeStreams(Conn& connection,
                         const std::string& engine,
                         const std::string& version,
                         int events,
                         int pause_ms,
                         long long born = 1790000000000) {
  Head head;
  std::string body;
  while (connection.ReadHead(head, Now() + 60) &&
         connection.ReadBody(head, body, Now() + 5)) {
    if (head.Target() == "/gentianroute/report") {
      const std::string report = json{
          {"phase", "prefill_decode"},
          {"born", born},
          {"version", version}}.dump();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(report.size()) + "\r\n\r\n" + report);
      continue;
    }
    const std::string id = head.Get("Gentianroute-Request-Id");
    const int after = LastEventOf(head);
    if (head.Get("Gentianroute-Expect-Instance") != engine) {
      connection.Write(
          "HTTP/1.1 421 Misdirected Request\r\nGentianroute-Request-Id: " + id +
          "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    Record("engine %s, software %s: runs %s after event %d", engine.c_str(),
           version.c_str(), id.c_str(), after);
    connection.Write("HTTP/1.1 200 OK\r\nGentianroute-Request-Id: " + id +
                     "\r\nGentianroute-Response-Signature: sig-" + id +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = after + 1; i <= events; ++i) {
      const std::string event = "id: " + std::to_string(3 * i) +
                                "\ndata: " + version + " piece " +
                                std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) {
        return;
      }
      SleepMs(pause_ms);
    }
    connection.Write("0\r\n\r\n");
    body.clear();
  }
}

/// A client's stream over its tries.
struct Stream {
  std::string id;  ///< of the first try, which brought the first event
  std::string subject = "5c1e07a2";  ///< the shared part of its prompt
  std::string versions;  ///< of the engines, in the order of their events
  int last = 0;          ///< number of the last event
  bool joined = false;   ///< has events of two versions
  bool complete = false;
  int takes_up = 0;  ///< tries after the first event
  int went_on = 0;   ///< of these, those that brought more events
};

inline std::vector<std::string> StreamFields(const Stream& stream) {
  std::vector<std::string> fields = {
      "Gentianroute-Model: m", "Gentianroute-Token-Usage: 400,300",
      "Gentianroute-Prefix-Hash: " + stream.subject + ":300," +
          std::to_string(std::hash<std::string>{}(stream.id) % 100000000) +
          ":100"};
  if (stream.last > 0) {
    fields.push_back("Last-Event-Id: " + std::to_string(3 * stream.last));
    fields.push_back("Resumes: " + stream.id);
  }
  return fields;
}

/// One try of a stream, to its end or to its break.
/// @return the status, 0 if there was no answer; `retry_after` in seconds
inline int TryStream(Stream& stream,
                     const std::string& ip,
                     int port,
                     const std::string& id,
                     double deadline,
                     double& retry_after) {
  retry_after = 0;
  Conn client = Connect(ip, port);
  const int left = static_cast<int>((deadline - Now()) * 1000);
  if (client.fd < 0 || left <= 0 ||
      !client.Write(
          RequestHead("POST", "/chat/new", id, left, 4, StreamFields(stream)) +
          "text")) {
    return 0;
  }
  const bool takes_up = stream.last > 0;
  stream.takes_up += takes_up ? 1 : 0;
  Head head;
  if (!client.ReadHead(head, deadline)) {
    return 0;
  }
  if (head.Status() != 200) {
    retry_after = std::atof(head.Get("Retry-After").c_str());
    return head.Status();
  }
  const int before = stream.last;
  std::string text;
  std::string chunk;
  for (;;) {
    std::size_t at;
    while ((at = client.input.find("\r\n")) == std::string::npos) {
      if (!client.ReadMore(deadline)) {
        return 200;
      }
    }
    const std::size_t count = std::strtoull(client.input.c_str(), nullptr, 16);
    client.input.erase(0, at + 2);
    if (count == 0) {
      stream.complete = true;
      return 200;
    }
    if (!client.ReadBytes(count + 2, chunk, deadline)) {
      return 200;
    }
    text += chunk.substr(0, count);
    while ((at = text.find("\n\n")) != std::string::npos) {
      const std::string event = text.substr(0, at);
      text.erase(0, at + 2);
      const int number =
          std::atoi(event.substr(event.find(':') + 1).c_str()) / 3;
      const std::string data = event.substr(event.find("data: ") + 6);
      const std::string version = data.substr(0, data.find(' '));
      if (stream.versions.find(version) == std::string::npos) {
        stream.joined = !stream.versions.empty();
        stream.versions += version + " ";
      }
      stream.last = number;
      stream.went_on += takes_up && number == before + 1 ? 1 : 0;
    }
  }
}

/// The configuration with one route of streams that may be resumed.
inline json StreamConfig() {
  return {{"version", 1},
          {"routes",
           {{{"name", "chat"},
             {"hostname", "app.example"},
             {"prefix", "/chat/"},
             {"type", "streaming"},
             {"timeoutMs", 15000},
             {"targetLatencyMs", 1600},
             {"priority", 1},
             {"service", "model"},
             {"maxAttempts", 2},
             {"public", true},
             {"sessionAffinity", true},
             {"resumable", true},
             {"gapTargetMs", 400}}}},
          {"services",
           {{{"name", "model"},
             {"healthPath", "/healthz"},
             {"maxConnections", 370},
             {"protocol", "h1"},
             {"tls", false},
             {"backend", {{"slots", 64}, {"kvCapacity", 454255}}}}}},
          {"limits", Limits()}};
}

/// Ends the daemons and the case, without waiting for its threads.
[[noreturn]] inline void Finish(int result) {
  for (Daemon* daemon : Daemon::All()) {
    daemon->End();
  }
  Record("result: %s", result == kHeld     ? "the rule held"
                       : result == kBroken ? "the rule was broken"
                                           : "the case could not run");
  std::fclose(RecordFile());
  _exit(result);
}

}  // namespace kit

#endif  // REVIEW_KIT_2_KIT_H_
