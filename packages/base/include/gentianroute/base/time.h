#ifndef GENTIANROUTE_BASE_TIME_H_
#define GENTIANROUTE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace gentianroute {

/// @brief Monotonic clock of one daemon, in microseconds since its start.
///
/// It has no now(): functions take the current time as an argument, so that
/// tests can run the same code in virtual time.
struct DaemonClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<DaemonClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = DaemonClock::duration;
using TimePoint = DaemonClock::time_point;

/// @brief Microseconds since the Unix epoch. Only for values that other
/// processes read; deadlines use TimePoint, which wall-clock steps don't
/// affect.
using UnixMicros = std::int64_t;

inline constexpr TimePoint kNever = TimePoint::max();

/// @brief Converts a duration to fractional seconds.
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @brief Converts a duration to fractional milliseconds.
inline double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @brief Converts a duration to whole milliseconds, rounded towards zero; for
/// log lines and wire formats.
inline std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @brief Converts fractional milliseconds to a duration, rounded towards zero
/// to a microsecond.
inline Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

/// @brief Converts fractional seconds to a duration, rounded towards zero to a
/// microsecond.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_TIME_H_
