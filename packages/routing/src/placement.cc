#include "gentianroute/routing/placement.h"

#include <algorithm>
#include <optional>

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
  std::optional<Duration> shortest;
  for (const ServerPtr& server : servers) {
    if (server->open() && placement.Accepts(server->record())) {
      const Duration left = server->backoff().TimeLeft(now);
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  return shortest.value_or(Duration{0});
}

}  // namespace gentianroute::routing
