#ifndef GENTIANROUTE_ROUTING_WORK_ORDER_H_
#define GENTIANROUTE_ROUTING_WORK_ORDER_H_

#include <cstdint>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief A work item queued for a group of shared servers.
struct WaitingWork {
  std::uint64_t id = 0;
  TimePoint submitted_at{};
  TimePoint soft_deadline{};  ///< its request is on time if it ends by then
  Duration server_time{};     ///< server time that it needs
  Duration min_duration{};    ///< shortest time from its start to its end
  double value = 0;           ///< value to its caller if it is on time
  /// As server_time, for the storage of its results; zero if it needs none that
  /// is scarce.
  Duration storage_time{};
  /// Set by OrderWork(): it can't be on time, or more valuable work displaces
  /// it.
  bool is_late = false;
};

/// @brief Orders work to maximise the value that is done on time.
///
/// Work is ordered by earliest deadline first. Under overload that order alone
/// would make everything late, so whenever an item would miss its soft
/// deadline, the item of lowest value density (value for its server time) among
/// those up to it is displaced. Late and displaced work follows by value
/// density, which grows with the time in the queue so that nothing starves
/// behind more valuable work. Work that needs scarce storage is on time only if
/// both the servers and the storage suffice.
/// @param busy time until the servers are free, summed over servers
/// @return the work in order of execution
/// @complexity O(n log n)
std::vector<WaitingWork> OrderWork(TimePoint now,
                                   std::vector<WaitingWork> waiting,
                                   Duration busy,
                                   std::size_t servers);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_WORK_ORDER_H_
