#ifndef GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
#define GENTIANROUTE_ROUTING_DRAIN_TIMES_H_

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief The end of a daemon that has been told to stop.
struct DrainTimes {
  TimePoint last_expected_request =
      kNever;                  ///< nobody should send it requests after this
  TimePoint ends_at = kNever;  ///< what has not ended by then is broken off

  /// @brief Whether a request that comes now is to be taken.
  ///
  /// The balancer sends new connections for some seconds after the stop, and
  /// all of these requests are taken. One that comes later, on a connection
  /// that was open before, may last longer than this daemon: its stream would
  /// be cut. Refused at once, it is served elsewhere.
  /// @param expected time until its whole answer has gone out
  bool CanAccept(TimePoint now, Duration expected) const {
    // Queues and long answers vary by about this much.
    constexpr int kSafetyFactor = 2;
    return now < last_expected_request ||
           now + expected * kSafetyFactor <= ends_at;
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
