#ifndef GENTIANROUTE_DECISION_WAIT_ESTIMATOR_H_
#define GENTIANROUTE_DECISION_WAIT_ESTIMATOR_H_

#include <cstddef>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Estimates the waiting time in a pool's queue.
///
/// Keeps a moving average of the time between two starts, taken only while
/// requests wait in between. The number of slots and the service times are no
/// basis for this, since other daemons use the same servers.
class WaitEstimator {
 public:
  /// @param waiting whether the queue is not empty after this start
  void OnStart(TimePoint now, bool waiting) {
    if (waited_) {
      const double seconds = Seconds(now - last_);
      interval_ += kWeight * (seconds - interval_);
    }
    last_ = now;
    waited_ = waiting;
  }

  /// @return expected wait of the last of `waiters` requests; zero while
  /// unknown
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
