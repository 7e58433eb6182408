#ifndef GENTIANROUTE_ROUTING_POOL_CHOICE_H_
#define GENTIANROUTE_ROUTING_POOL_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/placed_bytes.h"
#include "gentianroute/routing/stage_pool.h"
#include "gentianroute/routing/topology.h"

namespace gentianroute::routing {

/// @brief State of the pool of stage servers of one service in one data centre.
struct PoolState {
  std::string service;
  std::string data_centre;
  std::uint32_t servers = 0;  ///< servers that accept work
  Backlog backlog;
};

/// @brief A group of pieces about to be submitted to a pool.
struct PoolWork {
  std::uint32_t pieces = 0;
  Duration piece_time{};
  std::vector<PlacedBytes> inputs;
  double result_bytes = 0;         ///< total size of the results of all pieces
  std::string reader_data_centre;  ///< empty if unknown
  Duration time_left{};            ///< time until its soft deadline
};

/// @brief Estimated time until a pool finishes the given work, if it runs
/// before all work that is already late.
Duration EstimatedPoolTime(const PoolState& pool,
                           const PoolWork& work,
                           const StageCapacity& capacity);

/// @brief Chooses the pool that finishes first, by backlog and distance.
///
/// Transfers between data centres are billed, so a pool close to the inputs and
/// to the reader of the results is preferred in proportion to the bytes that it
/// saves. A pool that would finish late nevertheless loses to one that finishes
/// on time: under load, the pools closest to the readers have queues while
/// servers elsewhere are idle.
/// @return null if no pool has a server
const PoolState* ChoosePool(std::span<const PoolState> pools,
                            const PoolWork& work,
                            const StageCapacity& capacity,
                            const Topology& topology);

/// @brief Finds a pool in which a group that is late in its own pool starts
/// sooner, by at least the time of a call.
///
/// Queued work that can't be on time is passed by newer work and waits until
/// its deadline, while the servers of other pools become idle after a burst.
/// @param wait time until the group starts in its own pool
/// @return null if there is none
const PoolState* FasterPool(std::span<const PoolState> pools,
                            std::string_view own_data_centre,
                            Duration wait,
                            const StageCapacity& capacity,
                            const Topology& topology);

/// @brief State of all pools: the last report of each scheduler, and the work
/// submitted since.
class PoolStateTable {
 public:
  /// @param state as reported by the scheduler of the pool, which may be this
  /// daemon
  void Report(TimePoint now, PoolState state);
  /// @brief Adds work submitted to a pool to its backlog until the next report.
  void OnWorkSubmitted(std::string_view service,
                       std::string_view data_centre,
                       Duration server_time);
  /// @brief Returns the pools of a service with their estimated current
  /// backlog.
  std::vector<PoolState> PoolsOf(TimePoint now, std::string_view service) const;
  /// @brief Sets the number of servers of a pool, from the host list.
  void SetServers(std::string_view service,
                  std::string_view data_centre,
                  std::uint32_t servers);

 private:
  struct Entry {
    PoolState state;
    TimePoint reported{};
    Duration submitted{};
  };
  using Key = std::pair<std::string, std::string>;

  std::map<Key, Entry> entries_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_POOL_CHOICE_H_
