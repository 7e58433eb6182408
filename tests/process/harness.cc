#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

#include "connection.h"

extern char** environ;

namespace gentianroute::testing {
namespace {

using nlohmann::json;

constexpr int kSignalBase = 128;
// SHA-256 of "test-key".
constexpr const char* kTestKeyDigest =
    "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

std::string Binary(const std::string& name) {
  const char* folder = std::getenv("GENTIANROUTE_BIN");
  return std::string(folder == nullptr ? "build" : folder) + "/" + name;
}

/// A port that was free a moment ago; the listener takes it with SO_REUSEADDR.
// Below the range that the kernel serves outgoing connections and port 0 from:
// a port of that range may be taken again before the daemon listens on it, and
// the daemon then ends with "address already in use".
std::uint16_t FreePort() {
  constexpr int kTries = 100;
  static std::random_device random;
  std::uniform_int_distribution<int> ports(10'000, 32'000);
  for (int i = 0; i < kTries; ++i) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int failed =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(fd);
    if (failed == 0) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

int ConnectTo(std::uint16_t port, int seconds) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval timeout{seconds, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& error_file) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  output_ = pipe_ends[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int failed = posix_spawn(&pid_, command.front().c_str(), &actions,
                                 nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  if (failed != 0) {
    throw std::runtime_error("can't start " + command.front());
  }
}

Process::~Process() {
  if (status_ < 0 && pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(output_);
}

void Process::Signal(int number) const {
  kill(pid_, number);
}

int Process::Wait(int seconds) {
  const bool ended = Eventually(seconds, [this] {
    int status = 0;
    if (status_ < 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                  : kSignalBase + WTERMSIG(status);
    }
    return status_ >= 0;
  });
  return ended ? status_ : -1;
}

std::uint16_t Process::ReadPort() {
  std::string text;
  char c = 0;
  while (read(output_, &c, 1) == 1 && c != '\n') {
    text += c;
  }
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw std::runtime_error("no port in '" + text + "'");
  }
  return static_cast<std::uint16_t>(std::stoi(text.substr(equals + 1)));
}

std::string Process::ReadAll() {
  std::string text;
  char buffer[4096];
  ssize_t got = 0;
  while ((got = read(output_, buffer, sizeof(buffer))) > 0) {
    text.append(buffer, static_cast<std::size_t>(got));
  }
  return text;
}

Answer Http(std::uint16_t port,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            const std::vector<std::string>& headers,
            int seconds) {
  const int fd = ConnectTo(port, seconds);
  if (fd < 0) {
    return {};
  }
  std::string request = method + " " + path + " HTTP/1.1\r\nhost: test\r\n";
  for (const std::string& header : headers) {
    request += header + "\r\n";
  }
  request +=
      "connection: close\r\ncontent-length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  std::string text;
  if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
    char buffer[4096];
    ssize_t got = 0;
    while ((got = Receive(fd, buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<std::size_t>(got));
    }
  }
  close(fd);
  const std::size_t split = text.find("\r\n\r\n");
  if (split == std::string::npos) {
    return {};
  }
  constexpr std::size_t kStatusAt = 9;
  Answer answer;
  answer.headers = text.substr(0, split);
  answer.body = text.substr(split + 4);
  answer.status = std::atoi(answer.headers.substr(kStatusAt, 3).c_str());
  return answer;
}

Deployment::Deployment() {
  const char* base = std::getenv("TMPDIR");
  folder_ =
      std::string(base == nullptr ? "/tmp" : base) + "/gentianroute-XXXXXX";
  if (mkdtemp(folder_.data()) == nullptr) {
    throw std::runtime_error("no folder for the test");
  }
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{Binary("standins/standin"), "platform"},
      File("platform.err"));
  platform_port_ = platform_->ReadPort();
}

std::string Deployment::File(const std::string& name) const {
  return folder_ + "/" + name;
}

std::size_t Deployment::AddBackend(const std::string& pool,
                                   const std::vector<std::string>& options,
                                   const std::string& data_centre,
                                   const std::string& region) {
  Host host;
  host.name = pool + "-" + std::to_string(backends_.size());
  host.pool = pool;
  host.data_centre = data_centre;
  host.region = region;
  std::vector<std::string> command = {Binary("standins/standin"), "backend",
                                      "--name", host.name};
  command.insert(command.end(), options.begin(), options.end());
  host.process = std::make_unique<Process>(command, File(host.name + ".err"));
  host.port = host.process->ReadPort();
  host.command = std::move(command);
  host.command.insert(host.command.end(),
                      {"--port", std::to_string(host.port)});
  backends_.push_back(std::move(host));
  PublishHosts();
  return backends_.size() - 1;
}

void Deployment::RestartBackend(std::size_t index) {
  Host& host = backends_[index];
  host.process =
      std::make_unique<Process>(host.command, File(host.name + ".err"));
  host.process->ReadPort();
  ++host.incarnation;
  PublishHosts();
}

void Deployment::SetFaults(std::size_t backend,
                           const std::string& faults) const {
  Http(backend_port(backend), "PUT", "/control/faults", faults);
}

void Deployment::SetPlatformFaults(const std::string& faults) const {
  Http(platform_port_, "PUT", "/control/faults", faults);
}

std::uint64_t Deployment::Runs(std::size_t backend,
                               const std::string& marker) const {
  const Answer answer =
      Http(backend_port(backend), "GET", "/control/counts", "");
  return json::parse(answer.body).at("by_marker").value(marker, 0U);
}

std::string Deployment::Log(std::size_t daemon) const {
  std::ifstream file(File(daemons_[daemon].name + ".err"));
  return {std::istreambuf_iterator<char>(file), {}};
}

void Deployment::PublishHosts() {
  json hosts = json::array();
  for (const Host& host : backends_) {
    hosts.push_back({{"name", host.name},
                     {"address", "127.0.0.1"},
                     {"port", host.port},
                     {"pool", host.pool},
                     {"data_centre", host.data_centre},
                     {"region", host.region},
                     {"incarnation", host.incarnation},
                     {"slots", 8}});
  }
  for (const Daemon& daemon : daemons_) {
    hosts.push_back({{"name", daemon.name},
                     {"address", "127.0.0.1"},
                     {"port", daemon.peers},
                     {"pool", "gentianroute"},
                     {"data_centre", daemon.data_centre},
                     {"region", daemon.region},
                     {"incarnation", 1}});
  }
  Http(platform_port_, "PUT", "/control/hosts", hosts.dump());
}

std::size_t Deployment::AddDaemon(const std::string& data_centre,
                                  const std::string& region) {
  Daemon daemon;
  daemon.name = "entry-" + std::to_string(daemons_.size());
  daemon.data_centre = data_centre;
  daemon.region = region;
  daemon.callers = FreePort();
  daemon.operators = FreePort();
  daemon.peers = FreePort();
  json settings = {
      {"name", daemon.name},
      {"dataCentre", data_centre},
      {"region", region},
      {"callers", {{"port", daemon.callers}}},
      {"operators", {{"port", daemon.operators}}},
      {"peers", {{"port", daemon.peers}}},
      {"platform",
       {{"port", platform_port_}, {"pollMs", 100}, {"timeoutMs", 500}}},
      {"organisations",
       {{{"name", "test"},
         {"keys", {{{"subscriber", "tester"}, {"sha256", kTestKeyDigest}}}}}}},
  };
  settings.merge_patch(json::parse(settings_));
  const std::string file = File(daemon.name + ".json");
  std::ofstream(file) << settings.dump(2);
  daemon.process = std::make_unique<Process>(
      std::vector<std::string>{Binary("apps/gentianroute"), "--settings", file},
      File(daemon.name + ".err"));
  const std::uint16_t operators = daemon.operators;
  daemons_.push_back(std::move(daemon));
  PublishHosts();
  const bool up = Eventually(10, [operators] {
    return Http(operators, "GET", "/healthz", "").status == 200;
  });
  if (!up) {
    throw std::runtime_error("the daemon did not come up");
  }
  return daemons_.size() - 1;
}

void Deployment::Apply(const std::string& declarations) {
  const std::string file = File("declarations.json");
  std::ofstream(file) << declarations;
  Process apply({Binary("apps/gentianctl"), "--port",
                 std::to_string(operator_port(0)), "apply", file},
                File("apply.err"));
  if (apply.Wait(10) != 0) {
    throw std::runtime_error("apply failed; see " + File("apply.err"));
  }
  for (const Daemon& daemon : daemons_) {
    const bool ready = Eventually(10, [&daemon] {
      const Answer answer = Http(daemon.operators, "GET", "/status", "");
      const json status = json::parse(answer.body, nullptr, false);
      return status.is_object() && status.value("revision", 0) > 0 &&
             !status.at("servers").empty();
    });
    if (!ready) {
      throw std::runtime_error(daemon.name + " has no configuration");
    }
  }
}

Answer Deployment::Post(std::size_t daemon,
                        const std::string& service,
                        const std::string& body,
                        std::vector<std::string> headers) const {
  headers.emplace_back("authorization: Bearer test-key");
  return Http(caller_port(daemon), "POST", "/v1/services/" + service, body,
              headers);
}

}  // namespace gentianroute::testing
