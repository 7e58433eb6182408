#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <set>
#include <stdexcept>

#include "connection.h"

extern char** environ;

namespace gentianroute::testing {
namespace {

constexpr int kSignalBase = 128;

/// Child processes that have not been waited for. Never destroyed, since tests
/// with a static Deployment destroy their processes during static destruction.
std::set<pid_t>& RunningProcesses() {
  static auto* processes = new std::set<pid_t>;
  return *processes;
}

/// Exit handler. A failed assertion leaves its test by longjmp without running
/// destructors, so that child processes would keep running, stopped ones
/// forever; the process of the test then exits and runs this handler.
void KillRunningProcesses() {
  for (const pid_t process : RunningProcesses()) {
    kill(process, SIGKILL);
  }
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

/// Reserves a port for this process among all test processes of the host, by a
/// lock on one byte of a shared file.
///
/// Checking that a port is free is not enough: the daemon listens on it only
/// later, and a test that runs at the same time could choose the same port, so
/// that the second daemon exits with "address already in use". The kernel
/// releases the lock when the process ends for any reason.
bool ReservePort(std::uint16_t port) {
  static const int file =
      open("/tmp/gentianroute-test-ports", O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = port;
  lock.l_len = 1;
  return fcntl(file, F_SETLK, &lock) == 0;
}

/// Whether the port is free for both TCP and UDP; daemons use one port for
/// both.
bool IsPortFree(std::uint16_t port) {
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int error =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(fd);
    if (error != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::uint16_t FreePort() {
  constexpr int kMaxAttempts = 100;
  static std::random_device random;
  static std::set<std::uint16_t> allocated;
  std::uniform_int_distribution<int> ports(10'000, 32'000);
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    if (ReservePort(port) && IsPortFree(port) &&
        allocated.insert(port).second) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

std::string BinaryPath(const std::string& name) {
  const char* folder = std::getenv("GENTIANROUTE_BIN");
  return std::string(folder == nullptr ? "build" : folder) + "/" + name;
}

Process::Process(const std::vector<std::string>& command,
                 const std::string& error_file,
                 const std::string& output_file) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("can't create a pipe");
  }
  output_ = pipe_ends[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kAppend = O_WRONLY | O_CREAT | O_APPEND;
  if (output_file.empty()) {
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file.c_str(), kAppend, 0644);
  }
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(),
                                   kAppend, 0644);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int error = posix_spawn(&pid_, command.front().c_str(), &actions,
                                nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  if (error != 0) {
    throw std::runtime_error("can't start " + command.front());
  }
  if (RunningProcesses().empty()) {
    std::atexit(&KillRunningProcesses);
  }
  RunningProcesses().insert(pid_);
}

Process::~Process() {
  if (status_ < 0 && pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  RunningProcesses().erase(pid_);
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
      RunningProcesses().erase(pid_);
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
    throw std::runtime_error("no port number in '" + text + "'");
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

void KillProcessesOnSignals() {
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT}) {
    std::signal(number, [](int received) {
      KillRunningProcesses();
      std::signal(received, SIG_DFL);
      std::raise(received);
    });
  }
}

ClientResponse CallHttp(std::uint16_t port,
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
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return {};
  }
  constexpr std::size_t kStatusOffset = 9;
  ClientResponse response;
  response.headers = text.substr(0, head_end);
  response.body = text.substr(head_end + 4);
  response.status =
      std::atoi(response.headers.substr(kStatusOffset, 3).c_str());
  return response;
}

}  // namespace gentianroute::testing
