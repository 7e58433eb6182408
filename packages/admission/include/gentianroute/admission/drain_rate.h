#ifndef GENTIANROUTE_ADMISSION_DRAIN_RATE_H_
#define GENTIANROUTE_ADMISSION_DRAIN_RATE_H_

#include <algorithm>
#include <cmath>

#include "gentianroute/base/time.h"

namespace gentianroute::admission {

/// @brief Rate at which work leaves a queue while some of it waits, learned
/// from what was taken out.
///
/// What a group of servers could do if all calls were full and all results
/// found storage says little about a queue: it drains as fast as the scarcest
/// resource allows. Time without a queue shows demand, not capacity, and is not
/// counted.
class DrainRate {
 public:
  /// Time in which an observation loses half of its weight: a few calls, so
  /// that servers that are lost or slow down are noticed within two seconds.
  static constexpr double kHalfLifeSeconds = 1.0;
  /// Weight of the rate that is assumed without observations.
  static constexpr double kPriorSeconds = 0.1;
  /// Time without which nothing can be told: work is taken out call by call.
  static constexpr double kMinObservedSeconds = 0.3;

  /// @brief Records what was taken out of the queue now.
  /// @param amount counts only if the queue was not empty before
  /// @param waits whether work is left
  void OnTaken(TimePoint now, double amount, bool waits) {
    Advance(now);
    taken_ += waits_ ? amount : 0.0;
    waits_ = waits;
  }
  /// @brief Whether work has waited lately for long enough to tell the rate.
  bool HasObserved(TimePoint now) const {
    DrainRate current = *this;
    current.Advance(now);
    return current.waited_seconds_ >= kMinObservedSeconds;
  }
  /// @param expected rate that is assumed without observations
  double PerSecond(TimePoint now, double expected) const {
    DrainRate current = *this;
    current.Advance(now);
    if (current.waited_seconds_ < kMinObservedSeconds) {
      return expected;
    }
    return (current.taken_ + expected * kPriorSeconds) /
           (current.waited_seconds_ + kPriorSeconds);
  }

 private:
  void Advance(TimePoint now) {
    const double passed = std::max(0.0, Seconds(now - updated_at_));
    const double kept = std::exp2(-passed / kHalfLifeSeconds);
    taken_ *= kept;
    waited_seconds_ *= kept;
    if (waits_) {
      waited_seconds_ += passed;
    }
    updated_at_ = now;
  }

  double taken_ = 0;
  double waited_seconds_ = 0;
  bool waits_ = false;
  TimePoint updated_at_{};
};

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_DRAIN_RATE_H_
