#ifndef GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
#define GENTIANROUTE_ROUTING_DRAIN_TIMES_H_

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Times in the shutdown of a daemon that has been told to stop.
struct DrainTimes {
  /// No new requests are expected after this time.
  TimePoint last_expected_request = kNever;
  TimePoint ends_at = kNever;  ///< unfinished requests are aborted at this time

  /// @brief Whether to accept a request that arrives now.
  ///
  /// The load balancer sends new connections for some seconds after the stop
  /// signal, and their requests are all accepted. A later request, on a
  /// connection that was already open, may outlast the daemon and have its
  /// stream cut. It is refused at once, so that another daemon can serve it.
  /// @param expected time until the answer has been sent in full
  bool CanAccept(TimePoint now, Duration expected) const {
    // Queueing and long answers vary by about this factor.
    constexpr int kSafetyFactor = 2;
    return now < last_expected_request ||
           now + expected * kSafetyFactor <= ends_at;
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
