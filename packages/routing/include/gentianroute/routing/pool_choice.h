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

/// @brief The stage servers of one service in one data centre, and what waits
/// for them.
struct PoolState {
  std::string service;
  std::string data_centre;
  std::uint32_t servers = 0;  ///< that can be used
  Backlog backlog;
};

/// @brief ServiceTime that is about to be handed to a pool.
struct PoolWork {
  std::uint32_t pieces = 0;
  Duration piece_time{};
  std::vector<PlacedBytes> inputs;
  double result_bytes = 0;  ///< of all pieces
  std::string
      reader_data_centre;  ///< data centre of what reads the results, if known
  Duration time_left{};    ///< it is in time_ms if it is completed within this
};

/// @brief Time until a pool is completed with a piece of work that goes before
/// all that is late already.
Duration EstimatedPoolTime(const PoolState& pool,
                           const PoolWork& work,
                           const StageCapacity& capacity);

/// @brief The pool that is completed first, by backlog and distance.
///
/// A pool beside its inputs and its reader is preferred by the bytes that need
/// not cross: they cost money. But a pool where the work would be late loses to
/// one where it is in time_ms, whatever crosses: in a burst the homes of
/// subjects have queues while servers elsewhere are free.
/// @return null if none has a server
const PoolState* ChoosePool(std::span<const PoolState> pools,
                            const PoolWork& work,
                            const StageCapacity& capacity,
                            const Topology& topology);

/// @brief What is known of all pools: what their schedulers told, and what was
/// handed to them since.
class PoolStateTable {
 public:
  /// @param state as its scheduler told, or the own one
  void Report(TimePoint now, PoolState state);
  /// @brief ServiceTime was handed to a pool; counts until its next report.
  void OnWorkSubmitted(std::string_view service,
                       std::string_view data_centre,
                       Duration server_time);
  /// @brief The pools of a service with their backlog as of now.
  std::vector<PoolState> PoolsOf(TimePoint now, std::string_view service) const;
  /// @brief Sets how many servers a pool has, by the host list.
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
