#include "gentianroute/routing/sender_share.h"

#include <algorithm>

namespace gentianroute::routing {
namespace {

/// Sets of senders that daemons with different views of the fleet may name at
/// the same time.
constexpr double kSenderSets = 2;
/// Requests in a window that one sender needs to be of use.
constexpr double kMinRequestsPerSender = 2;

}  // namespace

SenderShare SenderShare::Of(double requests_per_second,
                            const RateTolerance& tolerance,
                            std::size_t max_senders) {
  const double window = Seconds(tolerance.window);
  const double bound =
      requests_per_second * window * tolerance.overshoot + tolerance.slack;
  const double set_bound = bound / kSenderSets;
  SenderShare share;
  share.senders =
      std::clamp(static_cast<std::size_t>(set_bound / kMinRequestsPerSender),
                 std::size_t{1}, max_senders);
  const auto senders = static_cast<double>(share.senders);
  // A sender may send one request at the start of a window and then its rate.
  const double rate = std::min(requests_per_second / senders,
                               (set_bound / senders - 1) / window);
  // Where the bound is too small for this, half of the server's own rate is
  // left to each set.
  const double used_rate =
      rate > 0 ? rate : requests_per_second / kSenderSets / senders;
  // Rounded up to the next microsecond.
  share.interval = FromSeconds(1.0 / used_rate) + Duration{1};
  return share;
}

}  // namespace gentianroute::routing
