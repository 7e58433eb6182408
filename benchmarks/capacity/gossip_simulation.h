#ifndef GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_
#define GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_

#include <cstddef>
#include <cstdint>

namespace gentianroute::capacity {

/// @brief Parameters of gossip as PeerLinks implements it.
struct GossipOptions {
  std::size_t daemons = 810;
  /// Extra rounds per period, run at once after a new revision; 0: none.
  std::uint32_t rumours = 1;
  std::uint64_t seed = 1;
};

/// @brief Applies a revision at one daemon and spreads it by gossip alone,
/// without polling of the store. Every message takes 20 ms, as between regions.
/// @return seconds of virtual time until every daemon has applied it
double ConvergenceSeconds(const GossipOptions& options);

}  // namespace gentianroute::capacity

#endif  // GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_
