#ifndef GENTIANROUTE_DECISION_POOL_HEALTH_H_
#define GENTIANROUTE_DECISION_POOL_HEALTH_H_

#include <algorithm>
#include <cstdint>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Whether a pool answers at all, from its calls' own ends.
///
/// While no server of a pool answers, a newcomer would run its first stages in
/// vain, wait out its whole deadline, and only then be told. Once the pool has
/// been silent for a while, newcomers are refused at once instead, as not run;
/// a restart of all its servers is shorter than that and is waited for. One
/// newcomer now and then is let through, so that the pool's return is noticed.
class PoolHealth {
 public:
  struct Options {
    std::uint32_t failure_threshold = 3;  ///< in a row, over all servers
    Duration min_outage = std::chrono::seconds(2);
    Duration probe_period = std::chrono::milliseconds(500);
  };

  PoolHealth() : PoolHealth(Options{}) {}
  explicit PoolHealth(Options options) : options_(options) {}

  /// @brief Some server of the pool answered, be it with a refusal.
  void OnAnswer() { failures_ = 0; }

  /// @brief A call failed in a way that blames its server.
  void OnFailure(TimePoint now) {
    if (failures_ == 0) {
      failing_since_ = now;
    }
    ++failures_;
  }

  /// @param max_wait how long the newcomer would rather wait for the pool; the
  /// longer a pool has been silent, the less likely it is back in time
  bool IsUnresponsive(TimePoint now, Duration max_wait) const {
    return failures_ >= options_.failure_threshold &&
           now - failing_since_ >= std::max(options_.min_outage, max_wait);
  }

  /// @brief Whether a newcomer may try a dark pool; one a period may.
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
