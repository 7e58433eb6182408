#ifndef GENTIANROUTE_TESTS_PROCESS_PROCESS_H_
#define GENTIANROUTE_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gentianroute::testing {

/// @brief Polls until `condition` holds.
/// @return false if it does not within `seconds`
template <typename Condition>
bool Eventually(int seconds, Condition condition) {
  constexpr int kStepMicros = 20'000;
  constexpr int kStepsPerSecond = 1'000'000 / kStepMicros;
  for (int step = 0; step < seconds * kStepsPerSecond; ++step) {
    if (condition()) {
      return true;
    }
    usleep(kStepMicros);
  }
  return condition();
}

/// @brief Allocates a port on which no process listens. While the calling
/// process runs, the port is not allocated again, neither to it nor to another
/// test process: a daemon with a port that is used twice could not start.
///
/// The port is below the kernel's ephemeral range. A port of that range may be
/// taken before the daemon listens on it, and the daemon then exits with
/// "address already in use".
/// @throws std::runtime_error if no free port is found
std::uint16_t FreePort();

/// @brief Path of a built program, such as `apps/gentianctl`.
std::string BinaryPath(const std::string& name);

/// @brief A child process of a test. It is killed when this object is destroyed
/// or when the process of a failed test exits.
class Process {
 public:
  /// @param output_file file for standard output; if empty, the output is read
  /// with ReadPort() and ReadAll()
  Process(const std::vector<std::string>& command,
          const std::string& error_file,
          const std::string& output_file = "");
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t id() const { return pid_; }
  void Signal(int number) const;
  /// @brief Waits until the process ends.
  /// @return exit status, or 128 + signal; -1 if it still runs after `seconds`
  int Wait(int seconds);
  /// @brief Reads one line `name=PORT` from standard output.
  /// @throws std::runtime_error if the line has another form
  std::uint16_t ReadPort();
  /// @brief Reads standard output to its end.
  std::string ReadAll();

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  int status_ = -1;
};

/// @brief Installs signal handlers that kill the child processes when a signal
/// terminates this process.
///
/// Daemons left over from a crashed run would keep connecting to the port of
/// their store, which a server of the next run may have.
void KillProcessesOnSignals();

/// @brief Response to a blocking HTTP call.
struct ClientResponse {
  int status = 0;  ///< 0 if there is no complete response head
  std::string headers;
  std::string body;
};

/// @brief Sends a request on a new connection and reads the response until the
/// connection closes.
ClientResponse CallHttp(std::uint16_t port,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        const std::vector<std::string>& headers = {},
                        int seconds = 10);

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_PROCESS_H_
