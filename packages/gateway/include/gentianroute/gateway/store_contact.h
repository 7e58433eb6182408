#ifndef GENTIANROUTE_GATEWAY_STORE_CONTACT_H_
#define GENTIANROUTE_GATEWAY_STORE_CONTACT_H_

#include <cstdint>

namespace gentianroute::gateway {

/// @brief Reachability of the store according to a daemon's own calls.
enum class StoreContact : std::uint8_t {
  kNotAsked,  ///< makes no calls; copies the rows from its peers
  kReachable,
  kUnreachable,
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_CONTACT_H_
