#ifndef GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/decision/coordinator.h"

namespace gentianroute::bench {

/// @brief Servers of one pool in every region, and how they serve.
struct PoolPlan {
  std::string name;
  std::uint32_t servers = 3;  ///< in all, dealt out to the regions in turn
  std::uint32_t slots = 4;    ///< calls that one server works on at a time
  Duration mean_service_time{std::chrono::milliseconds(10)};
  double slowdown_factor = 1;  ///< of the first server only
  Duration fails_from{0};
  Duration fails_until{0};  ///< equal to `fails_from`: never fails
  bool hangs = false;       ///< when it fails it never answers
};

/// @brief Requests of one subscriber.
struct Traffic {
  std::string organisation;
  std::string subscriber;
  double requests_per_second = 1;
  std::optional<std::size_t> daemon_index;  ///< one daemon instead of all
};

/// @brief One run of the model.
struct LoadPlan {
  std::uint64_t seed = 1;
  Duration duration = std::chrono::seconds(30);
  Duration warm_up = std::chrono::seconds(3);
  std::vector<std::string> regions = {"north", "middle", "south"};
  std::vector<PoolPlan> pools;
  Profile profile;
  std::vector<Traffic> traffic;
  RoutingPolicy routing = RoutingPolicy::kPredictedCompletion;
  Coordinator::Options coordinator;
  Duration report_lag = std::chrono::milliseconds(200);
  bool has_bursts = true;  ///< three times the rate in every fifth second
  double first_daemon_share =
      0;  ///< share of requests that all go to the first daemon
  bool share_usage = true;  ///< daemons tell each other their heaviest records
  std::uint32_t caller_resends = 0;  ///< by a caller whose request failed
  std::size_t body_bytes = 2000;
  double micro_euros_per_byte = 0;  ///< billed between regions
  std::size_t prefix_count = 0;     ///< that prompts begin with; 0: none
  std::size_t prefix_cache_capacity =
      60;  ///< prefixes that one engine can hold
  bool use_prefix_affinity =
      true;                     ///< false: the baseline that knows no caches
  double event_loss_ratio = 0;  ///< share of cache events
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_
