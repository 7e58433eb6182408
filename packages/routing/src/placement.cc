#include "gentianroute/routing/placement.h"

#include <algorithm>

namespace gentianroute::routing {

bool HasPlace(std::span<const ServerPtr> servers, const Placement& placement) {
  return std::any_of(
      servers.begin(), servers.end(), [&placement](const ServerPtr& server) {
        return server->open() && placement.Accepts(server->record());
      });
}

}  // namespace gentianroute::routing
