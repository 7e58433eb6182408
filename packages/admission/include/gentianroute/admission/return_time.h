#ifndef GENTIANROUTE_ADMISSION_RETURN_TIME_H_
#define GENTIANROUTE_ADMISSION_RETURN_TIME_H_

#include <algorithm>
#include <chrono>

#include "gentianroute/base/time.h"

namespace gentianroute::admission {

/// @brief Time after which a refused caller should come back.
///
/// Callers that are refused in one moment would fill the room in one moment
/// again, and be refused once more. Their returns begin when there is foreseen
/// to be room, and are spread over half of that time.
/// @param room_in until room is foreseen
/// @param position of the caller among all, evenly distributed in [0, 1)
inline Duration ReturnTime(Duration room_in, double position) {
  constexpr Duration kMinSpread = std::chrono::milliseconds(200);
  const Duration spread = std::max(kMinSpread, room_in / 2);
  return room_in + std::chrono::duration_cast<Duration>(spread * position);
}

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_RETURN_TIME_H_
