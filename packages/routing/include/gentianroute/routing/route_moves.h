#ifndef GENTIANROUTE_ROUTING_ROUTE_MOVES_H_
#define GENTIANROUTE_ROUTING_ROUTE_MOVES_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/route_table.h"

namespace gentianroute::routing {

/// @brief For how long a stream may be taken up that began at a server or on a
/// route that has since changed.
/// @param max_propagation_time after which no daemon begins a stream by what it
/// knew before the change
inline Duration StreamMemory(const RouteTable& table,
                             Duration max_propagation_time) {
  // Callers wait for a stream over a few requests, each within its timeout.
  constexpr Duration kMinWait = std::chrono::seconds(30);
  constexpr int kRequests = 2;
  Duration wait = kMinWait;
  for (const Route& route : table.deployment().routes) {
    if (route.resumable) {
      wait = std::max(wait, kRequests * route.timeout);
    }
  }
  return wait + max_propagation_time;
}

/// @brief Remembers which services have lately gained or lost a share of the
/// requests of a route.
///
/// A stream on such a route may have begun at another service than the one that
/// the route leads to now. That all servers of one service have the same
/// software version then says nothing about the stream.
class RouteMoves {
 public:
  /// @param memory see StreamMemory()
  explicit RouteMoves(Duration memory) : memory_(memory) {}

  /// @brief Sets for how long moves are remembered.
  void SetMemory(Duration memory) { memory_ = memory; }
  /// @brief A newer deployment takes the place of an older one.
  /// @complexity linear in the routes, times those of their host
  void OnDeployment(TimePoint now,
                    const RouteTable& before,
                    const RouteTable& after);
  /// @brief Routes may have been moved to or from a service unseen until now.
  void OnMissed(TimePoint now, std::string_view service) {
    moved_at_[std::string(service)] = now;
  }
  /// @brief Whether streams of a service may have begun at another one, or the
  /// reverse.
  bool Concerns(TimePoint now, std::string_view service) const;

 private:
  void Compare(TimePoint now, const Route& route, const RouteTable& other);

  Duration memory_;
  std::map<std::string, TimePoint, std::less<>> moved_at_;  ///< by service
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_ROUTE_MOVES_H_
