#ifndef GENTIANROUTE_TESTS_RANDOM_REQUEST_SIMULATION_H_
#define GENTIANROUTE_TESTS_RANDOM_REQUEST_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_backends.h"
#include "fake_store.h"

namespace gentianroute::testing {

/// @brief Counts of one run; printed, so that a run without faults or effects
/// is noticed.
struct SimulationReport {
  std::uint64_t events = 0;
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost_with_daemon = 0;  ///< unfinished when a daemon was killed
  std::uint64_t effects = 0;
  std::uint64_t replayed = 0;  ///< answered with a saved result
  std::uint64_t kills = 0;
  std::uint64_t freezes = 0;
  std::uint64_t poison_crashes = 0;
  std::uint64_t worst_poison = 0;  ///< most servers that one request crashed
  std::uint64_t poisons = 0;  ///< requests that crashed at least one server
  std::uint64_t innocent_quarantined = 0;  ///< quarantined, but no poison
  std::uint64_t late = 0;
  std::uint64_t crossed = 0;
  std::uint64_t resumed = 0;
};

/// @brief Simulates several daemons with one store and one set of backend
/// servers, with all kinds of faults at the same time. Aborts the process if an
/// invariant is violated.
class RequestSimulation : private BackendObserver {
 public:
  RequestSimulation(std::uint64_t seed, std::uint64_t events);

  /// @brief Submits requests for the given number of events, then runs until
  /// all have ended.
  SimulationReport Run();

 private:
  struct Daemon {
    DaemonId id;
    std::unique_ptr<DecisionCore> core;
    TimePoint frozen_until{};
    TimePoint wake_at = kNever;
    std::map<JoinId, std::function<void(JoinOutcome)>> joins;
  };
  /// One request as its caller sent it, and what was observed of it.
  struct SimulatedRequest {
    std::string marker;
    std::string key;
    std::string service;
    std::string body_marker;  ///< differs from `marker` if a key is reused with
                              ///< another body
    TimePoint deadline{};
    int resends = 0;
    std::uint64_t runs = 0;
    std::uint64_t effects = 0;
    std::string streamed;
    std::uint64_t stream_offset = 0;
    std::optional<ExecutionState> failed_as;  ///< of its error; empty: none
    bool finished = false;

    bool IsPoison() const { return marker.starts_with("poison"); }
    bool HasEffect() const {
      return service == "orders" || service == "topups";
    }
  };
  using RequestKey = std::pair<DaemonId, RequestId>;

  void OnRun(const BackendCall& call) override;
  void OnPoisonCrash(const BackendCall& call) override;
  void Deliver(DaemonId to, Event event) override;

  void Receive(DaemonId to, const Event& event);
  void ProcessActions(Daemon& daemon);
  bool ProcessStoreOperations(Daemon& daemon);
  void ScheduleWake(Daemon& daemon);
  void RestartDaemon(Daemon& daemon);
  void StartCore(Daemon& daemon);

  void Execute(Daemon& daemon, const StartAttempt& start);
  void Execute(Daemon& daemon, const CancelAttempt& cancel);
  void Execute(Daemon& daemon, const DeliverChunk& chunk);
  void Execute(Daemon& daemon, const FinishRequest& finish);
  void Execute(Daemon& daemon, const QueryClaimHolder& query);
  void Execute(Daemon& daemon, const AnswerJoin& answer);
  void SendCall(const BackendCall& call);
  void CheckAnswer(const SimulatedRequest& request,
                   const FinishRequest& finish);
  void CheckError(SimulatedRequest& request, const FinishRequest& finish);

  void ScheduleSubmission();
  void Submit(SimulatedRequest request);
  void Resend(const SimulatedRequest& request);
  SimulatedRequest MakeRequest();
  void ScheduleRepeating(Duration min_interval,
                         Duration max_interval,
                         std::function<void()> task);
  void ScheduleFaults();
  void SendHostLists();
  void SendQuarantines();
  bool IsClosing() const { return events_.executed() >= max_events_; }
  Daemon& PickDaemon() { return daemons_[random_.Below(daemons_.size())]; }
  void Expect(bool condition,
              const char* violation,
              const SimulatedRequest& request) const;

  std::uint64_t seed_;
  std::uint64_t max_events_;
  EventQueue events_;
  RandomSource random_;
  FakeStore store_;
  FakeBackends backends_;
  CatalogueRef catalogue_;
  std::vector<Daemon> daemons_;
  std::map<RequestKey, SimulatedRequest> requests_;
  std::map<std::string, std::uint64_t> effects_;  ///< by idempotency key
  std::map<std::string, std::uint64_t> poison_crashes_;
  std::map<std::pair<DaemonId, std::string>, std::uint64_t> crashes_by_daemon_;
  std::set<std::pair<DaemonId, AttemptId>> cancelled_;
  std::uint64_t next_marker_ = 0;
  TimePoint closed_at_ = kNever;  ///< when the submissions stopped
  SimulationReport report_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_RANDOM_REQUEST_SIMULATION_H_
