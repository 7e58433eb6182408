#ifndef GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_
#define GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief Takes log lines to standard output without ever waiting for it.
///
/// Whoever reads the output may stop for a while; a write would then block the
/// one thread, and with it every request. Lines wait in a bounded buffer
/// instead. What does not fit is dropped, and the number is told once there is
/// room again.
class LogOutput {
 public:
  /// @brief Becomes the destination of LogEvent until destroyed.
  explicit LogOutput(EventLoop& loop);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  std::uint64_t dropped() const { return dropped_; }

 private:
  void Add(std::string_view line);
  void Flush();

  EventLoop& loop_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_untold_ = 0;
  TimerId timer_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_
