#ifndef GENTIANROUTE_ROUTING_REQUEST_PACING_H_
#define GENTIANROUTE_ROUTING_REQUEST_PACING_H_

#include <algorithm>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief When this daemon may send the next request to a server whose rate is
/// limited.
class RequestPacing {
 public:
  /// @brief Records that the rate is limited from now on.
  void OnLimited(TimePoint now) { limited_since_ = now; }
  void OnSent(TimePoint now) { last_sent_ = now; }

  /// @brief Whether this daemon may send a request now, if it leaves this time
  /// between two requests.
  ///
  /// The first request after the begin of the limit waits for this time too: a
  /// daemon that has restarted does not know what it sent before, and the
  /// server may just have got requests from all daemons.
  bool MaySend(TimePoint now, Duration interval) const {
    return now - std::max(limited_since_, last_sent_) >= interval;
  }
  TimePoint limited_since() const { return limited_since_; }

 private:
  TimePoint limited_since_{};
  TimePoint last_sent_{};
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_REQUEST_PACING_H_
