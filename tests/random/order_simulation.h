#ifndef GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_
#define GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_

#include <cstdint>

namespace gentianroute::random_config {

struct OrderCounts {
  std::uint64_t events = 0;
  std::uint64_t orders = 0;
  std::uint64_t refused = 0;  ///< by engines that check the number
  std::uint64_t terms = 0;    ///< holders, one after another
};

/// @brief Issuers of orders over leases, against engines that check the fencing
/// number and engines that ignore it.
OrderCounts RunOrderSimulation(std::uint64_t seed, std::uint64_t events);

}  // namespace gentianroute::random_config

#endif  // GENTIANROUTE_TESTS_RANDOM_ORDER_SIMULATION_H_
