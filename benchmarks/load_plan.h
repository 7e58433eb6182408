#ifndef GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/decision/coordinator.h"

namespace gentianroute::bench {

/// @brief Servers of one pool, across all regions, and their behaviour.
struct PoolPlan {
  std::string name;
  std::uint32_t servers = 3;  ///< total, assigned to regions round robin
  std::uint32_t slots = 4;    ///< concurrent calls per server
  Duration mean_service_time{std::chrono::milliseconds(10)};
  double slowdown_factor = 1;  ///< service time multiplier of the first server
  Duration fails_from{0};
  Duration fails_until{0};  ///< exclusive; equal to `fails_from`: no fault
  bool hangs = false;       ///< during the fault: no answer instead of an error
};

/// @brief Request stream of one subscriber.
struct Traffic {
  std::string organisation;
  std::string subscriber;
  double requests_per_second = 1;
  /// Daemon that receives all requests; empty: one drawn for each request.
  std::optional<std::size_t> daemon_index;
};

/// @brief Parameters of one simulation run.
struct LoadPlan {
  std::uint64_t seed = 1;
  Duration duration = std::chrono::seconds(30);
  Duration warm_up = std::chrono::seconds(3);  ///< excluded from the outcome
  std::vector<std::string> regions = {"north", "middle", "south"};
  std::vector<PoolPlan> pools;
  Profile profile;
  std::vector<Traffic> traffic;
  RoutingPolicy routing = RoutingPolicy::kPredictedCompletion;
  Coordinator::Options coordinator;
  /// Age of the load reports that daemons receive.
  Duration report_lag = std::chrono::milliseconds(200);
  bool has_bursts = true;  ///< see LoadModel::CurrentRateFactor
  /// Fraction of requests sent to the first daemon. Each of the others goes to
  /// a daemon drawn at random.
  double first_daemon_share = 0;
  bool share_usage = true;  ///< daemons exchange their heaviest usage records
  std::uint32_t caller_resends = 0;  ///< maximum per request, after failures
  std::size_t body_bytes = 2000;
  double micro_euros_per_byte = 0;  ///< for traffic between regions
  std::size_t prefix_count = 0;     ///< distinct prompt prefixes; 0: none
  std::size_t prefix_cache_capacity = 60;  ///< prefixes per server
  bool use_prefix_affinity = true;  ///< false: ignores prefix caches (baseline)
  double event_loss_ratio = 0;      ///< fraction of cache events dropped
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_PLAN_H_
