#include "gentianroute/routing/request_rate_limiter.h"

#include <algorithm>

namespace gentianroute::routing {
namespace {

/// A lower rate is taken for this one, so that a server which takes no requests
/// for a time can still tell when it does again.
constexpr double kMinRequestsPerSecond = 0.05;

SenderShare ShareOf(double requests_per_second,
                    const RateTolerance& tolerance,
                    std::size_t max_senders) {
  return SenderShare::Of(std::max(kMinRequestsPerSecond, requests_per_second),
                         tolerance, max_senders);
}

}  // namespace

bool RequestRateLimiter::MaySend(TimePoint now, const Server& server) const {
  const RequestLimit& limit = server.request_limit();
  if (!limit.rate()) {
    return true;
  }
  const SenderShare share =
      ShareOf(*limit.rate(), tolerance_, SenderShare::kMaxSenders);
  return limit.MaySend(now, share.interval) &&
         senders_.IsSender(server.record(), share.senders);
}

bool RequestRateLimiter::MaySendAlone(TimePoint now,
                                      const Server& server) const {
  const RequestLimit& limit = server.request_limit();
  return !limit.rate() ||
         limit.MaySend(now, ShareOf(*limit.rate(), tolerance_, 1).interval);
}

}  // namespace gentianroute::routing
