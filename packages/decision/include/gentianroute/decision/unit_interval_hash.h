#ifndef GENTIANROUTE_DECISION_UNIT_INTERVAL_HASH_H_
#define GENTIANROUTE_DECISION_UNIT_INTERVAL_HASH_H_

#include <xxhash.h>

#include <string_view>

namespace gentianroute {

/// @brief Maps an id to a uniformly distributed number in [0, 1), the same at
/// all daemons.
inline double HashToUnitInterval(std::string_view id) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(XXH3_64bits(id.data(), id.size())) / kHashRange;
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_UNIT_INTERVAL_HASH_H_
