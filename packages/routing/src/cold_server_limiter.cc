#include "gentianroute/routing/cold_server_limiter.h"

#include <chrono>

namespace gentianroute::routing {
namespace {

/// Time after which a server that became cold has reported it, and its report
/// has reached all daemons.
constexpr Duration kReportDelay = std::chrono::seconds(2);

}  // namespace

void ColdServerLimiter::SetServices(std::span<const ServiceSpec> services) {
  limits_.clear();
  for (const ServiceSpec& service : services) {
    const double rate = service.warm_up.requests_per_second;
    if (rate > 0) {
      limits_[service.name] = {service.warm_up.duration,
                               SenderShare::Of(rate, tolerance_)};
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
