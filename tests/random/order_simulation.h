#ifndef GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_
#define GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_

#include <cstdint>

namespace gentianroute::random_config {

/// @brief Counts of one run.
struct OrderCounts {
  std::uint64_t events = 0;
  std::uint64_t orders = 0;
  std::uint64_t refused = 0;  ///< by engines that check the fencing token
  std::uint64_t terms = 0;    ///< lease terms, one per holder
};

/// @brief Simulates issuers of engine orders that compete for a lease, with
/// engines that check the fencing token and with engines that ignore it.
OrderCounts RunOrderSimulation(std::uint64_t seed, std::uint64_t events);

}  // namespace gentianroute::random_config

#endif  // GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_
