#ifndef GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "gentianroute/decision/coordinator.h"
#include "load_outcome.h"
#include "load_plan.h"

namespace gentianroute::bench {

/// @brief Discrete-event simulation of one coordinator per region, against
/// simulated servers in virtual time. Deterministic for a given plan.
class LoadModel {
 public:
  explicit LoadModel(LoadPlan plan);
  ~LoadModel();
  Outcome Run();

 private:
  struct Daemon;
  struct FakeServer;
  struct Call;
  struct PendingRequest;
  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void Schedule(TimePoint due, std::function<void()> action);
  void MakeServers();
  void MakeDaemons();
  void ScheduleArrival(std::size_t traffic);
  double CurrentRateFactor() const;
  void Submit(Daemon& daemon,
              const Traffic& traffic,
              TimePoint first_sent,
              std::uint32_t resends_left);
  void ExecuteActions(Daemon& daemon);
  void Execute(Daemon& daemon, StartAttempt& start);
  void Execute(Daemon& daemon, CancelAttempt& cancel);
  void Execute(Daemon& daemon, FinishRequest& finish);
  void CountCost(const Daemon& daemon,
                 const Call& call,
                 const StageSpec& stage);
  void OnArrival(const std::shared_ptr<Call>& call);
  void StartService(const std::shared_ptr<Call>& call);
  bool TouchPrefix(FakeServer& server, std::uint64_t prefix);
  void PublishCacheEvent(FakeServer& server,
                         std::uint64_t added,
                         std::vector<std::uint64_t> removed);
  void SendFirstToken(const std::shared_ptr<Call>& call);
  void EndCall(const std::shared_ptr<Call>& call, int status);
  void ReleaseSlot(FakeServer& server);
  void PublishHostList();
  void ShareUsage();
  void SampleLoad();
  Duration Latency(const Daemon& daemon, const FakeServer& server) const;
  std::uint32_t LaggingLoad(const FakeServer& server) const;

  LoadPlan plan_;
  Rng rng_;
  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, std::unique_ptr<FakeServer>> servers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  Outcome outcome_;
  std::uint64_t load_samples_ = 0;
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_
