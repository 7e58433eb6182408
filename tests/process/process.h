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

/// @brief A port on which nobody listens. No port is given twice while the
/// process that asked for it runs, neither to it nor to another test process: a
/// daemon that got one port for two of its addresses, or another daemon's,
/// could not start.
///
/// It lies below the range that the kernel serves outgoing connections and port
/// 0 from: a port of that range may be taken again before the daemon listens on
/// it, and the daemon then ends with "address already in use".
std::uint16_t FreePort();

/// @brief Path of a built program, like `apps/gentianctl`.
std::string BinaryPath(const std::string& name);

/// @brief One process that a test started; ended by its id at the latest when
/// this is destroyed, or when the process of a failed test exits.
class Process {
 public:
  /// @param output_file where standard output goes; empty: to ReadPort() and
  /// ReadAll()
  Process(const std::vector<std::string>& command,
          const std::string& error_file,
          const std::string& output_file = "");
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t id() const { return pid_; }
  void Signal(int number) const;
  /// @brief Waits for the end.
  /// @return exit status, or 128 + signal; -1 if it goes on for `seconds`
  int Wait(int seconds);
  /// @brief Reads standard output up to `name=` and a number.
  std::uint16_t ReadPort();
  /// @brief Reads standard output to its end.
  std::string ReadAll();

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  int status_ = -1;
};

/// @brief Also ends the processes that this one started when a signal ends it.
///
/// Daemons that outlive a run that crashed go on asking for their store at a
/// port that a server of the next run then has.
void KillProcessesOnSignals();

/// @brief Answer of a blocking HTTP call.
struct ClientResponse {
  int status = 0;  ///< 0: none
  std::string headers;
  std::string body;
};

/// @brief Calls over a new connection and reads to the end of the answer.
ClientResponse CallHttp(std::uint16_t port,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        const std::vector<std::string>& headers = {},
                        int seconds = 10);

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_PROCESS_H_
