#ifndef GENTIANROUTE_ROUTING_WORK_ORDER_H_
#define GENTIANROUTE_ROUTING_WORK_ORDER_H_

#include <cstdint>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Work that waits for servers that are shared.
struct WaitingWork {
  std::uint64_t id = 0;
  TimePoint submitted_at{};
  TimePoint soft_deadline{};  ///< done by then, its request is in time
  Duration server_time{};     ///< that it takes
  Duration min_duration{};    ///< from its start to its end
  double value = 0;           ///< to its caller, if it is in time
};

/// @brief Orders work so that the most value is in time.
///
/// As long as all can be in time, what is wanted first goes first. In a burst
/// that order would let each wait until it is late; so whenever the next one
/// would miss its time, the work of lowest value for its server time among
/// those before it steps back. What is late or has stepped back follows, by
/// value for its server time and by how long it has waited, so that nothing
/// waits for ever behind work of more value.
/// @param busy time until the servers are free, summed over them
/// @return the work, the next to be done first
/// @complexity O(n log n)
std::vector<WaitingWork> OrderWork(TimePoint now,
                                   std::vector<WaitingWork> waiting,
                                   Duration busy,
                                   std::size_t servers);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_WORK_ORDER_H_
