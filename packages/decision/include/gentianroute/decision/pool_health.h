#ifndef GENTIANROUTE_DECISION_POOL_HEALTH_H_
#define GENTIANROUTE_DECISION_POOL_HEALTH_H_

#include <algorithm>
#include <cstdint>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Circuit breaker of a pool, driven by the results of its calls.
///
/// While no server of a pool responds, a new request would run its first stages
/// for nothing and fail at its deadline. Once the pool has been unresponsive
/// for some time, new requests are therefore rejected at once, before any stage
/// runs. A restart of all servers is shorter than that time, and requests wait
/// for it. A request is admitted periodically as a probe, to detect recovery.
class PoolHealth {
 public:
  struct Options {
    /// Consecutive failures, over all servers, of an unresponsive pool.
    std::uint32_t failure_threshold = 3;
    /// Minimum time since the first of these failures.
    Duration min_outage = std::chrono::seconds(2);
    Duration probe_period = std::chrono::milliseconds(500);
  };

  PoolHealth() : PoolHealth(Options{}) {}
  explicit PoolHealth(Options options) : options_(options) {}

  /// @brief Handles any response of a server of the pool, also a rejection.
  void OnAnswer() { failures_ = 0; }

  /// @brief Handles a call that failed through the fault of its server.
  void OnFailure(TimePoint now) {
    if (failures_ == 0) {
      failing_since_ = now;
    }
    ++failures_;
  }

  /// @brief Whether new requests should be rejected.
  /// @param max_wait length of an outage up to which the request prefers to
  /// wait for the pool; the longer an outage lasts, the less likely the pool
  /// recovers before the request's deadline
  bool IsUnresponsive(TimePoint now, Duration max_wait) const {
    return failures_ >= options_.failure_threshold &&
           now - failing_since_ >= std::max(options_.min_outage, max_wait);
  }

  /// @brief Whether to admit a request to an unresponsive pool as a probe; true
  /// once in each `probe_period`.
  bool TryProbe(TimePoint now) {
    if (now < next_probe_) {
      return false;
    }
    next_probe_ = now + options_.probe_period;
    return true;
  }

  Duration TimeSinceFirstFailure(TimePoint now) const {
    return now - failing_since_;
  }

 private:
  Options options_;
  std::uint32_t failures_ = 0;
  TimePoint failing_since_{};
  TimePoint next_probe_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_POOL_HEALTH_H_
