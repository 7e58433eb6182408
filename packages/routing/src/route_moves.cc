#include "gentianroute/routing/route_moves.h"

namespace gentianroute::routing {

void RouteMoves::OnDeployment(TimePoint now,
                              const RouteTable& before,
                              const RouteTable& after) {
  std::erase_if(moved_at_, [this, now](const auto& move) {
    return move.second + memory_ <= now;
  });
  for (const Route& route : after.deployment().routes) {
    Compare(now, route, before);
  }
  // The paths of a route that was dropped may belong to a shorter one now.
  for (const Route& route : before.deployment().routes) {
    Compare(now, route, after);
  }
}

bool RouteMoves::Concerns(TimePoint now, std::string_view service) const {
  const auto moved = moved_at_.find(service);
  return moved != moved_at_.end() && now < moved->second + memory_;
}

void RouteMoves::Compare(TimePoint now,
                         const Route& route,
                         const RouteTable& other) {
  const Route* counterpart = other.Find(route.hostname, route.prefix);
  if (counterpart == nullptr || counterpart->services == route.services) {
    return;
  }
  for (const Route* side : {&route, counterpart}) {
    for (const WeightedService& service : side->services) {
      moved_at_[service.service] = now;
    }
  }
}

}  // namespace gentianroute::routing
