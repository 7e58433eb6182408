#include "gentianroute/routing/placement.h"

#include <algorithm>

#include "gentianroute/routing/detail/shortest_backoff.h"

namespace gentianroute::routing {

bool HasPlace(std::span<const ServerPtr> servers, const Placement& placement) {
  return std::any_of(
      servers.begin(), servers.end(), [&placement](const ServerPtr& server) {
        return server->open() && placement.Accepts(server->record());
      });
}

Duration BackoffLeft(TimePoint now,
                     std::span<const ServerPtr> servers,
                     const Placement& placement) {
  return detail::ShortestBackoff(now, servers,
                                 [&placement](const Server& server) {
                                   return placement.Accepts(server.record());
                                 });
}

}  // namespace gentianroute::routing
