#ifndef GENTIANROUTE_TESTS_SOAK_SOAK_RUN_H_
#define GENTIANROUTE_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "soak_callers.h"
#include "soak_daemon.h"
#include "soak_servers.h"

namespace gentianroute::soak {

/// @brief Size and duration of a run.
struct SoakOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(8);
  std::size_t daemons = 4;
  std::size_t callers = 16;
  /// Part of the names of the faults that are drawn; empty: all are.
  std::string only;
  int max_gap_ms = 500;  ///< between two faults
  std::string folder;    ///< for the settings and logs of the daemons
};

/// @brief Result of a run.
struct SoakReport {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  ///< each with its time
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t taken_up = 0;  ///< broken streams
  std::size_t went_on = 0;   ///< those that received a further event
};

/// @brief Runs real daemon processes against simulated servers, a simulated
/// store and simulated callers, under faults drawn from a seed.
///
/// Faults follow each other and may overlap. At the end all are cleared, and
/// each daemon must serve the route that the newest configuration added.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  ~SoakRun();

  SoakReport Run();

 private:
  struct FaultKind {
    std::string_view name;
    int weight;
    void (SoakRun::*begin)();
  };
  static const std::vector<FaultKind>& FaultKinds();
  /// @brief Faults that the options admit.
  std::vector<FaultKind> DrawnKinds() const;

  void AddServers();
  void AddModelServers();
  void AddDaemons();
  void WaitUntilReady();
  void StoreDeployment();
  void ScheduleFault();
  void BeginFault();
  void ClearFaults();
  void CheckRecovery();
  /// @brief Requests the newest route from a daemon until it was served once.
  bool RequestUntilServed(SoakDaemon& daemon, TimePoint limit);
  void RunLoopFor(Duration time);
  SoakServer& DrawServer();
  SoakDaemon& DrawDaemon();
  Duration DrawTime(int min_ms, int max_ms);
  bool Draw(double share);
  FaultProxy::Mode DrawImpairment();

  // One function for each kind of fault.
  void KillDaemon();
  void KillMostDaemons();
  void StopDaemon();
  void PauseDaemon();
  void ReloadDaemonSettings();
  void CrashServer();
  void ReplaceServer();
  void SlowServer();
  void LoseResponses();
  void SendStrayResponses();
  void BreakStreams();
  void ImpairServerLink();
  void SilenceServerLinks();
  void ImpairStoreLink();
  void SilenceStoreLinks();
  void TakeStoreDown();
  void ChangeDeployment();
  void JoinVersion();
  void PauseDaemonAsVersionJoins();
  void CutStoreAsVersionJoins();
  /// @brief Kills all daemons but one.
  void KillPeers(const SoakDaemon& left);

  SoakOptions options_;
  /// Used by callers and servers; timing affects the order of draws.
  std::mt19937_64 random_;
  /// Used for faults only, so that a seed determines them.
  std::mt19937_64 fault_random_;
  EventLoop loop_;
  InvariantChecker checker_;
  platform::FakeStore store_;
  ServerContext context_;
  std::vector<std::unique_ptr<SoakServer>> servers_;
  /// Servers of the one service whose software changes; in `servers_`.
  std::vector<SoakServer*> model_servers_;
  std::uint64_t software_version_ = 1;  ///< newest that has joined
  SoakCallers::Daemons daemons_;
  OperatorState operator_;
  SoakCallers callers_;
  SoakReport report_;
  TimerId process_check_timer_;
  TimerId fault_timer_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_RUN_H_
