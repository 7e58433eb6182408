#ifndef GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_
#define GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/observe/log_buffer.h"

namespace gentianroute {

/// @brief Writes log lines to a descriptor without ever blocking.
///
/// If the reader of the output stops, a blocking write would stall the daemon's
/// only thread and so every request. Lines are kept in a `LogBuffer` instead,
/// and the number of dropped lines is logged once the buffer has been written
/// out.
class LogOutput {
 public:
  /// @brief Replaces the destination of LogEvent until destroyed.
  /// @param descriptor a pipe or a file
  explicit LogOutput(EventLoop& loop, int descriptor);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  std::uint64_t dropped() const { return buffer_.dropped(); }

 private:
  void Flush();

  EventLoop& loop_;
  int descriptor_;
  LogBuffer buffer_;
  TimerId timer_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_OUTPUT_H_
