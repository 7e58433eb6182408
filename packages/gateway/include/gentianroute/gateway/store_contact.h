#ifndef GENTIANROUTE_GATEWAY_STORE_CONTACT_H_
#define GENTIANROUTE_GATEWAY_STORE_CONTACT_H_

#include <cstdint>

namespace gentianroute::gateway {

/// @brief What a daemon knows of the store from its own calls.
enum class StoreContact : std::uint8_t {
  kNotAsked,  ///< others ask it, and this daemon takes their copy
  kReachable,
  kUnreachable,
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_CONTACT_H_
