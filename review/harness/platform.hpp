// Stand-ins for the platform: its store, and the machine that runs a daemon.
#ifndef REVIEW_HARNESS_PLATFORM_HPP_
#define REVIEW_HARNESS_PLATFORM_HPP_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "net.hpp"

namespace review {

using nlohmann::json;

/// Prints a line of the record with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool has = i + j < bytes.size();
      group = group << 8 | (has ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool has = i + j <= bytes.size();
      text += has ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string AnswerText(int status,
                              const std::string& body,
                              const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The store: rows of tables, read, followed and written.
class Store {
 public:
  Store() : server_("127.0.0.1", [this](Stream& stream) { Serve(stream); }) {}
  ~Store() {
    stopping_ = true;
    changed_.notify_all();
  }

  const Address& address() const { return server_.address(); }
  /// @param value the text of a row; its base64 is what daemons read
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value,
           const std::string& part = "") {
    const std::lock_guard lock(mutex_);
    rows_[{table, part, key}] = {Base64(value), ++version_, false};
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    rows_[{table, "", key}] = {"", ++version_, true};
    changed_.notify_all();
  }

 private:
  struct Row {
    std::string value;  ///< base64
    std::uint64_t version = 0;
    bool deleted = false;
  };

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    for (const char before : {'?', '&'}) {
      const std::size_t at = target.find(before + name + "=");
      if (at != std::string::npos) {
        const std::size_t from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
      }
    }
    return "";
  }

  void Serve(Stream& stream) {
    for (;;) {
      const Message call = ReadMessage(stream, false, 120'000);
      if (!call.whole || !stream.Send(Answer(call))) {
        return;
      }
    }
  }

  std::string Answer(const Message& call) {
    const std::string target = call.target();
    if (call.method() == "POST") {
      return Write(json::parse(call.body, nullptr, false));
    }
    const std::string table = Parameter(target, "table");
    if (target.find("rows-feed") != std::string::npos) {
      return Feed(table, std::stoull("0" + Parameter(target, "after")),
                  std::stol("0" + Parameter(target, "waitMs")));
    }
    const std::lock_guard lock(mutex_);
    return Rows(table, Parameter(target, "part"), 0, true);
  }

  std::string Feed(const std::string& table, std::uint64_t after, long wait) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, Ms(wait), [&] {
      return stopping_ ||
             std::any_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
               return std::get<0>(entry.first) == table &&
                      entry.second.version > after;
             });
    });
    return Rows(table, "", after, false);
  }

  std::string Rows(const std::string& table,
                   const std::string& part,
                   std::uint64_t after,
                   bool only_live) {
    json rows = json::array();
    for (const auto& [id, row] : rows_) {
      const auto& [row_table, row_part, key] = id;
      if (row_table != table || (only_live && row_part != part) ||
          row.version <= after || (only_live && row.deleted)) {
        continue;
      }
      json item = {{"table", table},
                   {"part", row_part},
                   {"key", key},
                   {"ver", row.version}};
      if (row.deleted) {
        item["deleted"] = true;
      } else {
        item["value"] = row.value;
      }
      rows.push_back(std::move(item));
    }
    if (!only_live) {
      std::sort(rows.begin(), rows.end(), [](const json& a, const json& b) {
        return a["ver"] < b["ver"];
      });
    }
    return AnswerText(200, json{{"rows", rows},
                                {"hasMore", false},
                                {"ver", version_},
                                {"nowMs", NowMs()}}
                               .dump());
  }

  std::string Write(const json& call) {
    if (!call.is_object()) {
      return AnswerText(400, "");
    }
    const std::lock_guard lock(mutex_);
    ++version_;
    for (const json& row : call["puts"]) {
      rows_[{row["table"], row["part"], row["key"]}] = {row["value"], version_,
                                                        false};
    }
    changed_.notify_all();
    return AnswerText(200, json{{"ver", version_}, {"nowMs", NowMs()}}.dump());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::uint64_t version_ = 1;
  std::map<std::tuple<std::string, std::string, std::string>, Row> rows_;
  Server server_;
};

/// A machine with one daemon, started with the command of the deploy file.
class Machine {
 public:
  Machine(std::string name,
          std::string zone,
          const std::string& ip,
          const Address& store,
          std::string folder,
          const std::string& more_settings = "")
      : name_(std::move(name)),
        frontend_{ip, FreePort(ip)},
        readiness_{ip, FreePort(ip)},
        metrics_port_(FreePort(ip)),
        folder_(std::move(folder)) {
    const int peers = FreePort(ip);
    std::ofstream file(SettingsPath());
    file << "nodeName=" << name_ << "\nrole=gateway\nmachineClass=edge\n"
         << "serves=edge\nip=" << ip << "\nzone=" << zone << "\nregion=" << zone
         << "\nzones." << zone << "=" << zone
         << "\nlisten.frontend=" << frontend_.text()
         << "\nlisten.readiness=" << readiness_.text()
         << "\nportRange=" << peers << "," << peers << "\nbootstrap=true\n"
         << "limits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\n"
         << "limits.maxFds=4100\nheartbeatMs=1200\n"
         << "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,platform,stages\n"
         << "bounds.contactMs=4000\nbounds.drainMs=2500\nbounds.graceS=8\n"
         << "bounds.configApplyMs=2500\nbounds.retryBudgetRatio=0.2\n"
         << "bounds.budgetWindowS=10\nbounds.retryBudgetSlack=58\n"
         << "platform.address=" << store.text() << "\nplatform.form=table\n"
         << more_settings;
  }
  ~Machine() {
    Signal(SIGKILL);
    Wait();
  }

  const std::string& name() const { return name_; }
  const Address& frontend() const { return frontend_; }
  const Address& readiness() const { return readiness_; }
  pid_t pid() const { return pid_; }

  void Start() {
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string settings = "GENTIANROUTE_SETTINGS=" + SettingsPath();
    const std::string port = std::to_string(metrics_port_);
    pid_ = fork();
    if (pid_ == 0) {
      // The daemon must not outlive the case, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char* words[] = {"target/apps/gentianroute", "--platform",
                             "--metrics-port", port.c_str(), nullptr};
      const char* variables[] = {settings.c_str(), nullptr};
      execve(words[0], const_cast<char**>(words),
             const_cast<char**>(variables));
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  /// Whether the process has ended, by itself or not.
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ < 0;
  }
  void Wait() {
    if (pid_ > 0) {
      waitpid(pid_, &status_, 0);
      pid_ = -1;
    }
  }
  /// How it ended, in words.
  std::string Ending() const {
    return WIFSIGNALED(status_)
               ? "signal " + std::to_string(WTERMSIG(status_))
               : "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  bool IsReady() const {
    const auto stream = Stream::Connect(readiness_);
    if (stream == nullptr ||
        !stream->Send("GET /gentianroute/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    return ReadMessage(*stream, true, 1000).status() == 200;
  }
  bool BecomesReady(long timeout_ms = 10'000) {
    const long end = NowMs() + timeout_ms;
    while (NowMs() < end && !HasEnded()) {
      if (IsReady()) {
        return true;
      }
      SleepMs(20);
    }
    return false;
  }
  /// Resident memory in bytes; 0 if the process has ended.
  std::size_t Memory() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::stoul(line.substr(6)) * 1024;
      }
    }
    return 0;
  }

 private:
  std::string SettingsPath() const { return folder_ + "/" + name_ + ".conf"; }

  std::string name_;
  Address frontend_;
  Address readiness_;
  int metrics_port_;
  std::string folder_;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// One route, with the figures of a small deployment.
inline json Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& type,
                  const std::string& service,
                  int max_attempts,
                  int timeout_ms) {
  return {{"name", name},
          {"hostname", "shop.example"},
          {"prefix", prefix},
          {"type", type},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", 1000},
          {"gapTargetMs", 400},
          {"priority", 2},
          {"service", service},
          {"maxAttempts", max_attempts},
          {"public", false},
          {"resumable", false}};
}

/// A service without stages or a model.
inline json PlainService(const std::string& name) {
  return {{"name", name}, {"healthPath", "/healthz"}, {"maxConnections", 110}};
}

/// A configuration with one organisation, whose key is k1.
inline std::string Configuration(const json& routes, const json& services) {
  return json{
      {"version", 3},
      {"routes", routes},
      {"services", services},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}},
      {"tenants", {{{"name", "t1"}, {"apiKeys", {"k1"}}, {"priority", 1}}}}}
      .dump();
}

/// A client's request.
inline std::string RequestText(const std::string& path,
                               const std::string& id,
                               int deadline_ms,
                               const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nGentianroute-Request-Id: " + id +
         "\r\nGentianroute-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nGentianroute-Key: k1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The fields by which a server signs its answer to a request.
inline std::string SignedFields(const std::string& server,
                                const std::string& id) {
  return "Gentianroute-Request-Id: " + id +
         "\r\nGentianroute-Response-Signature: " + server + "." + id + "\r\n";
}

inline std::string RequestId(const Message& message) {
  return message.field("Gentianroute-Request-Id");
}

/// How often servers have run each request.
class Runs {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++count_[id];
  }
  int Of(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return count_[id];
  }
  std::map<std::string, int> All() {
    const std::lock_guard lock(mutex_);
    return count_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> count_;
};

/// The row of a server in the host list.
inline std::string ServerRow(const std::string& service,
                             const Address& address,
                             const std::string& zone,
                             int slots,
                             const std::string& state = "ready") {
  return json{{"service", service},   {"address", address.text()},
              {"zone", zone},         {"version", "v1"},
              {"slots", slots},       {"state", state},
              {"warmupLeftMs", 0},    {"sequence", 1},
              {"born", 1790000000000}}
      .dump();
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Runs a case in a temporary folder. @return its exit code
inline int RunCase(int argc,
                   char** argv,
                   const std::function<int(Record&, const std::string&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2 || access("target/apps/gentianroute", X_OK) != 0) {
    std::fprintf(stderr,
                 "start it in the root, after the build: CASE RECORD\n");
    return kCouldNotRun;
  }
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    return kCouldNotRun;
  }
  Record record(argv[1]);
  int result = kCouldNotRun;
  try {
    result = run(record, folder);
  } catch (const std::exception& error) {
    record.Line(std::string("could not run: ") + error.what());
  }
  const char* keep = std::getenv("KEEP");
  if (keep == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    record.Line("kept " + folder);
  }
  return result;
}

}  // namespace review

#endif  // REVIEW_HARNESS_PLATFORM_HPP_
