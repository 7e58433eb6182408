#ifndef GENTIANROUTE_ROUTING_REQUEST_RATE_LIMITER_H_
#define GENTIANROUTE_ROUTING_REQUEST_RATE_LIMITER_H_

#include "gentianroute/base/time.h"
#include "gentianroute/routing/sender_share.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief Keeps the requests that all daemons together send to a server within
/// the rate that the server has named.
///
/// As for cold servers, only a few daemons send to it, each with a fixed part
/// of the rate: parts for all of them would be too small to be of use in a
/// large fleet, and their first requests alone would exceed the rate.
class RequestRateLimiter {
 public:
  /// @param senders must outlive this object
  RequestRateLimiter(RateTolerance tolerance, const RateSenders& senders)
      : tolerance_(tolerance), senders_(senders) {}

  /// @brief Whether this daemon may send a request to the server now.
  bool MaySend(TimePoint now, const Server& server) const;
  /// @brief Like MaySend(), for the only daemon that sends to the server.
  bool MaySendAlone(TimePoint now, const Server& server) const;

 private:
  RateTolerance tolerance_;
  const RateSenders& senders_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_REQUEST_RATE_LIMITER_H_
