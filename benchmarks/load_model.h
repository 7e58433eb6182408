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

/// @brief Runs real coordinators, one per region, against fake servers in
/// virtual time. The same plan gives the same outcome.
class LoadModel {
 public:
  explicit LoadModel(Plan plan);
  ~LoadModel();
  Outcome Run();

 private:
  struct Daemon;
  struct FakeServer;
  struct Call;
  struct Sent;
  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void At(TimePoint due, std::function<void()> action);
  void MakeServers();
  void MakeDaemons();
  void ScheduleArrival(std::size_t traffic);
  double RateNow() const;
  void Submit(Daemon& daemon,
              const Traffic& traffic,
              TimePoint first,
              std::uint32_t resends);
  void Drain(Daemon& daemon);
  void Act(Daemon& daemon, StartAttempt& start);
  void Act(Daemon& daemon, CancelAttempt& cancel);
  void Act(Daemon& daemon, FinishRequest& finish);
  void CountCost(const Daemon& daemon,
                 const Call& call,
                 const StageSpec& stage);
  void Arrive(const std::shared_ptr<Call>& call);
  void Serve(const std::shared_ptr<Call>& call);
  bool TouchPrefix(FakeServer& server, std::uint64_t prefix);
  void Publish(FakeServer& server,
               std::uint64_t added,
               std::vector<std::uint64_t> removed);
  void SendFirstToken(const std::shared_ptr<Call>& call);
  void EndCall(const std::shared_ptr<Call>& call, int status);
  void Leave(FakeServer& server);
  void PublishHosts();
  void ShareUsage();
  void Observe();
  Duration Latency(const Daemon& daemon, const FakeServer& server) const;
  std::uint32_t LaggingLoad(const FakeServer& server) const;

  Plan plan_;
  Rng rng_;
  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, std::unique_ptr<FakeServer>> servers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  Outcome outcome_;
  std::uint64_t observations_ = 0;
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_
