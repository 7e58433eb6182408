#ifndef GENTIANROUTE_BASE_CALLER_LIMITS_H_
#define GENTIANROUTE_BASE_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Limits on the size and the timing of a caller's HTTP request.
struct CallerLimits {
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_CALLER_LIMITS_H_
