#ifndef GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_
#define GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_

#include <cstddef>
#include <cstdint>

namespace gentianroute::capacity {

/// @brief How daemons tell each other, as PeerLinks does it.
struct GossipOptions {
  std::size_t daemons = 810;
  std::uint32_t rumours = 1;  ///< extra rounds in a period; 0: none
  std::uint64_t seed = 1;
};

/// @brief Applies one revision at one daemon and lets gossip alone carry it:
/// nobody polls the store. Every path takes 20 ms one way, as between regions.
/// @return seconds of virtual time until every follower has it
double ConvergenceSeconds(const GossipOptions& options);

}  // namespace gentianroute::capacity

#endif  // GENTIANROUTE_BENCHMARKS_CAPACITY_GOSSIP_SIMULATION_H_
