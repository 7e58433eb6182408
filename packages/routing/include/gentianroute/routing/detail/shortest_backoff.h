#ifndef GENTIANROUTE_ROUTING_DETAIL_SHORTEST_BACKOFF_H_
#define GENTIANROUTE_ROUTING_DETAIL_SHORTEST_BACKOFF_H_

#include <algorithm>
#include <optional>
#include <span>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing::detail {

/// Time until one of the open servers that `accepts` may be sent something;
/// zero if there are none.
template <typename Accepts>
Duration ShortestBackoff(TimePoint now,
                         std::span<const ServerPtr> servers,
                         const Accepts& accepts) {
  std::optional<Duration> shortest;
  for (const ServerPtr& server : servers) {
    if (server->open() && accepts(*server)) {
      const Duration left = server->backoff().TimeLeft(now);
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  return shortest.value_or(Duration{0});
}

}  // namespace gentianroute::routing::detail

#endif  // GENTIANROUTE_ROUTING_DETAIL_SHORTEST_BACKOFF_H_
