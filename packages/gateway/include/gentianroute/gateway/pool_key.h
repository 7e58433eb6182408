#ifndef GENTIANROUTE_GATEWAY_POOL_KEY_H_
#define GENTIANROUTE_GATEWAY_POOL_KEY_H_

#include <compare>
#include <string>

namespace gentianroute::gateway {

/// @brief Identifies the pool of servers of one stage service in one data
/// centre.
struct PoolKey {
  std::string service;
  std::string data_centre;

  auto operator<=>(const PoolKey&) const = default;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_POOL_KEY_H_
