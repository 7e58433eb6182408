#ifndef GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "gentianroute/decision/coordinator.h"

namespace gentianroute::bench {

/// @brief Servers of one pool in every region, and how they serve.
struct PoolPlan {
  std::string name;
  std::uint32_t servers = 3;  ///< in all, dealt out to the regions in turn
  std::uint32_t slots = 4;    ///< calls that one server works on at a time
  Duration mean{std::chrono::milliseconds(10)};
  double slowness = 1;  ///< of the first server only
  Duration fails_from{0};
  Duration fails_until{0};  ///< equal to `fails_from`: never fails
};

/// @brief Requests of one subscriber.
struct Traffic {
  std::string organisation;
  std::string subscriber;
  double per_second = 1;
  std::optional<std::size_t> only_at;  ///< one daemon instead of all
};

/// @brief One run of the model.
struct Plan {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(30);
  Duration warm_up = std::chrono::seconds(3);
  std::vector<std::string> regions = {"north", "middle", "south"};
  std::vector<PoolPlan> pools;
  Profile profile;
  std::vector<Traffic> traffic;
  RoutingPolicy routing = RoutingPolicy::kPredictedCompletion;
  Coordinator::Options coordinator;
  Duration report_lag = std::chrono::milliseconds(200);
  bool bursts = true;   ///< three times the rate in every fifth second
  double at_first = 0;  ///< share of requests that all go to the first daemon
  bool share_usage = true;  ///< daemons tell each other their heaviest records
  std::uint32_t caller_resends = 0;  ///< by a caller whose request failed
  std::size_t body_bytes = 2000;
  double micros_per_byte = 0;  ///< billed between regions
  std::size_t prefixes = 0;    ///< that prompts begin with; 0: none
  std::size_t cached = 60;     ///< prefixes that one engine can hold
  bool affinity = true;        ///< false: the baseline that knows no caches
  double events_lost = 0;      ///< share of cache events
};

/// @return part per whole; zero of nothing is zero
inline double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief What became of the requests of one organisation or subscriber.
struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t in_time = 0;
  std::uint64_t refused = 0;  ///< before anything ran
  std::int64_t cost = 0;      ///< micro-euros, with billed bytes

  double Attainment() const { return sent == 0 ? 1 : Ratio(in_time, sent); }
};

/// @brief What one run measured, after the warm-up.
struct Outcome {
  Tally all;
  std::map<std::string, Tally> organisations;
  std::map<std::string, Tally> subscribers;
  std::map<std::string, std::int64_t> stage_cost;  ///< micro-euros
  std::vector<Tally> seconds;                      ///< by second of arrival
  std::vector<double> took_ms;                     ///< of the answered
  std::uint64_t calls = 0;
  std::uint64_t billed_bytes = 0;
  std::uint64_t prefix_served = 0;
  std::uint64_t prefix_hits = 0;
  std::vector<double> first_token_ms;
  double load_spread = 0;  ///< mean of (most - least loaded) per pool

  double CallsPerRequest() const;
  double CostPerAnswer() const;
  /// @return milliseconds
  static double Percentile(std::vector<double> values, double share);
};

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
