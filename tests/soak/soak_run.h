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

/// @brief Size and length of a run.
struct SoakOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(8);
  std::size_t daemons = 4;
  std::size_t callers = 16;
  std::string folder;  ///< for settings and logs of the daemons
};

/// @brief What came of a run.
struct SoakReport {
  std::vector<std::string> broken;
  std::vector<std::string> faults;  ///< what was done, with its time
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
};

/// @brief Real daemons as processes, among servers, a store and callers that
/// this process plays, under faults drawn from a seed.
///
/// Faults come in series and overlap. At the end all are healed, and each
/// daemon has to serve the newest configuration's own route.
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

  void AddServers();
  void AddDaemons();
  void WaitUntilReady();
  void StoreDeployment();
  void FaultLater();
  void BeginFault();
  void Heal();
  void AskLast();
  /// @brief Asks a daemon for the newest route until it has served it once.
  bool AskUntilServed(SoakDaemon& daemon, TimePoint limit);
  void Pass(Duration time);
  SoakServer& AnyServer();
  SoakDaemon& AnyDaemon();
  Duration DrawTime(int least_ms, int most_ms);
  bool Draw(double share);
  FaultProxy::Mode DrawHarm();

  // Faults, one each.
  void KillDaemon();
  void KillMostDaemons();
  void StopDaemon();
  void PauseDaemon();
  void HangUpDaemon();
  void CrashServer();
  void ReplaceServer();
  void SlowServer();
  void LoseAnswers();
  void SendStrays();
  void BreakStreams();
  void HarmServerLink();
  void SilenceServerLinks();
  void HarmStoreLink();
  void SilenceStoreLinks();
  void TakeStoreDown();
  void ChangeDeployment();

  SoakOptions options_;
  std::mt19937_64 random_;  ///< of callers and servers; timing decides its use
  std::mt19937_64
      fault_random_;  ///< of faults alone, so that a seed fixes them
  EventLoop loop_;
  Promises promises_;
  platform::FakeStore store_;
  ServerWorld world_;
  std::vector<std::unique_ptr<SoakServer>> servers_;
  SoakCallers::Daemons daemons_;
  OperatorState operator_;
  SoakCallers callers_;
  SoakReport report_;
  TimerId look_timer_;
  TimerId fault_timer_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_RUN_H_
