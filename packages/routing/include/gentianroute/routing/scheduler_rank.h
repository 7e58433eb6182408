#ifndef GENTIANROUTE_ROUTING_SCHEDULER_RANK_H_
#define GENTIANROUTE_ROUTING_SCHEDULER_RANK_H_

#include <compare>
#include <cstdint>

namespace gentianroute::routing {

/// @brief Suitability of a daemon as the scheduler of a stage service in a data
/// centre. The live daemon with the highest rank is the scheduler.
///
/// Every daemon computes all ranks from the same data, so that they agree
/// without communication.
struct SchedulerRank {
  /// A daemon whose links to the servers are cut can't call any.
  bool reaches_servers = false;
  /// In the data centre of the servers, which keeps round trips short.
  bool is_beside_servers = false;
  /// A call from a full pool names hundreds of results and takes tens of
  /// kilobytes. A daemon with an eighth of a core needs milliseconds to build
  /// it, during which the servers are idle.
  double processor_share = 0;
  /// Spreads services over equally suitable daemons.
  std::uint64_t hash = 0;

  auto operator<=>(const SchedulerRank&) const = default;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SCHEDULER_RANK_H_
