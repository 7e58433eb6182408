#ifndef GENTIANROUTE_DECISION_WAIT_ESTIMATOR_H_
#define GENTIANROUTE_DECISION_WAIT_ESTIMATOR_H_

#include <cstddef>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief How fast a pool takes what waits for it, as measured.
///
/// Slots and service times don't tell: other daemons use the same servers. The
/// time between two starts does, while something waits in between.
class WaitEstimator {
 public:
  /// @param waiting whether others still wait after this start
  void OnStart(TimePoint now, bool waiting) {
    if (waited_) {
      const double seconds = Seconds(now - last_);
      interval_ += kWeight * (seconds - interval_);
    }
    last_ = now;
    waited_ = waiting;
  }

  /// @return how long the last of so many will wait; zero while unknown
  Duration EstimateWait(std::size_t waiters) const {
    const double seconds = interval_ * static_cast<double>(waiters);
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
  }

 private:
  static constexpr double kWeight = 0.05;

  TimePoint last_{};
  double interval_ = 0;
  bool waited_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_WAIT_ESTIMATOR_H_
