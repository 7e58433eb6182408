#ifndef GENTIANROUTE_ROUTING_WARM_UP_H_
#define GENTIANROUTE_ROUTING_WARM_UP_H_

#include <algorithm>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/request_pacing.h"

namespace gentianroute::routing {

/// @brief Whether one server is cold, and when this daemon may send it the next
/// request while it is.
///
/// A server is cold for some seconds after its start, and crashes if it gets
/// many requests in that time.
class WarmUp {
 public:
  /// @brief Records the remaining time that the server itself has reported.
  /// @param left 0: the server is warm
  void OnReport(TimePoint now, Duration left) {
    const bool was_cold = IsCold(now);
    reported_until_ = now + left;
    NoteTurnedCold(now, was_cold);
  }
  /// @brief Records that the server may have restarted, so that it is taken as
  /// cold for some time whatever its last report says.
  void Suspect(TimePoint now, Duration time) {
    const bool was_cold = IsCold(now);
    suspected_until_ = std::max(suspected_until_, now + time);
    NoteTurnedCold(now, was_cold);
  }

  bool IsCold(TimePoint now) const {
    return now < std::max(reported_until_, suspected_until_);
  }
  Duration TimeLeft(TimePoint now) const {
    return std::max(Duration{0},
                    std::max(reported_until_, suspected_until_) - now);
  }

  /// @brief See RequestPacing.
  bool MaySend(TimePoint now, Duration interval) const {
    return pacing_.MaySend(now, interval);
  }
  void OnSent(TimePoint now) { pacing_.OnSent(now); }

 private:
  void NoteTurnedCold(TimePoint now, bool was_cold) {
    if (!was_cold && IsCold(now)) {
      pacing_.OnLimited(now);
    }
  }

  TimePoint reported_until_{};
  TimePoint suspected_until_{};
  RequestPacing pacing_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_WARM_UP_H_
