#ifndef GENTIANROUTE_ROUTING_COLD_SERVER_LIMITER_H_
#define GENTIANROUTE_ROUTING_COLD_SERVER_LIMITER_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/sender_share.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief Keeps the requests that all daemons together send to a cold server
/// within what it bears.
///
/// Servers that return together are empty and look best to every daemon. If
/// each daemon sent only its first request, hundreds would arrive at once. So
/// only a few daemons send to a cold server, each with a fixed part of its
/// rate. The part is half of what would be allowed, as daemons that disagree
/// for some seconds about who is alive name two sets of senders.
class ColdServerLimiter {
 public:
  /// @param senders must outlive this object
  ColdServerLimiter(RateTolerance tolerance, const RateSenders& senders)
      : tolerance_(tolerance), senders_(senders) {}

  /// @brief Sets the services of the deployment and what their servers bear.
  void SetServices(std::span<const ServiceSpec> services);

  /// @brief Whether this daemon may send a request to the server now.
  bool MaySend(TimePoint now, const Server& server) const;
  /// @brief Records that the server may be cold without having reported it.
  void Suspect(TimePoint now, Server& server) const;

 private:
  struct Limit {
    Duration duration{};  ///< a server is cold for this time
    SenderShare share;
  };

  /// @return null if the servers of the service need no limit
  const Limit* LimitOf(std::string_view service) const;

  RateTolerance tolerance_;
  const RateSenders& senders_;
  std::map<std::string, Limit, std::less<>> limits_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_COLD_SERVER_LIMITER_H_
