#ifndef GENTIANROUTE_BASE_TIME_H_
#define GENTIANROUTE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace gentianroute {

/// @brief Monotonic clock of one daemon, in microseconds since its start.
///
/// It has no now(): every function that decides takes the present time as an
/// argument, so that tests drive the same code with virtual time.
struct DaemonClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<DaemonClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = DaemonClock::duration;
using TimePoint = DaemonClock::time_point;

/// @brief Microseconds since the Unix epoch; only for rows that other daemons
/// read, never for a deadline.
using UnixMicros = std::int64_t;

inline constexpr TimePoint kNever = TimePoint::max();

/// @brief A duration in fractional seconds.
/// @return seconds
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @brief A duration in fractional milliseconds.
/// @return milliseconds
inline double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @brief Whole milliseconds, rounded towards zero; for lines and wire formats.
inline std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @brief A duration of fractional milliseconds, to the microsecond below.
inline Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_TIME_H_
