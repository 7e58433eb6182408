#include "gentianroute/routing/cold_server_limiter.h"

#include <algorithm>
#include <chrono>

namespace gentianroute::routing {
namespace {

/// Sets of senders that daemons with different views of the fleet may name at
/// the same time.
constexpr double kSenderSets = 2;
/// More senders would each send less often than a server gets requests when it
/// is warm, and would burst higher after a common pause.
constexpr std::size_t kMaxSenders = 3;
/// Requests in a second that one sender needs to be of use.
constexpr double kMinRequestsPerSender = 2;
/// Time after which a server that became cold has reported it, and its report
/// has reached all daemons.
constexpr Duration kReportDelay = std::chrono::seconds(2);

}  // namespace

ColdServerShare ColdServerShare::Of(double requests_per_second,
                                    const ColdServerTolerance& tolerance) {
  const double bound =
      requests_per_second * tolerance.overshoot + tolerance.slack;
  const double set_bound = bound / kSenderSets;
  ColdServerShare share;
  share.senders =
      std::clamp(static_cast<std::size_t>(set_bound / kMinRequestsPerSender),
                 std::size_t{1}, kMaxSenders);
  const auto senders = static_cast<double>(share.senders);
  // A sender may send one request at the start of a second and then its rate.
  const double rate =
      std::min(requests_per_second / senders, set_bound / senders - 1);
  // Where the bound is too small for this, half of the server's own rate is
  // left to each set.
  const double used_rate =
      rate > 0 ? rate : requests_per_second / kSenderSets / senders;
  // Rounded up to the next microsecond.
  share.interval = FromSeconds(1.0 / used_rate) + Duration{1};
  return share;
}

void ColdServerLimiter::SetServices(std::span<const ServiceSpec> services) {
  limits_.clear();
  for (const ServiceSpec& service : services) {
    const double rate = service.warm_up.requests_per_second;
    if (rate > 0) {
      limits_[service.name] = {service.warm_up.duration,
                               ColdServerShare::Of(rate, tolerance_)};
    }
  }
}

const ColdServerLimiter::Limit* ColdServerLimiter::LimitOf(
    std::string_view service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? nullptr : &found->second;
}

bool ColdServerLimiter::MaySend(TimePoint now, const Server& server) const {
  if (!server.warm_up().IsCold(now)) {
    return true;
  }
  const Limit* limit = LimitOf(server.record().service);
  return limit == nullptr ||
         (server.warm_up().MaySend(now, limit->share.interval) &&
          senders_.IsSender(server.record(), limit->share.senders));
}

void ColdServerLimiter::Suspect(TimePoint now, Server& server) const {
  const Limit* limit = LimitOf(server.record().service);
  if (limit != nullptr) {
    server.warm_up().Suspect(now, limit->duration + kReportDelay);
  }
}

}  // namespace gentianroute::routing
