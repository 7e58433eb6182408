#ifndef GENTIANROUTE_OBSERVE_LOG_BUFFER_H_
#define GENTIANROUTE_OBSERVE_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gentianroute/observe/log.h"

namespace gentianroute {

/// @brief Bounded buffer of log lines that are not written yet.
///
/// It fills when lines are produced faster than they are read, as at several
/// times the usual load or while the reader is stopped. Dropping lines at
/// random would leave the log of every request incomplete. Instead, as the
/// buffer fills, all lines are kept for a sample of the requests only, and
/// lines about failures are dropped last.
class LogBuffer {
 public:
  explicit LogBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// @brief Appends a line, or drops and counts it.
  void Add(const LogLine& line);
  /// @brief Unwritten lines, each with a newline.
  std::string_view pending() const { return pending_; }
  /// @brief Removes the first `bytes` bytes, which have been written.
  void OnWritten(std::size_t bytes) { pending_.erase(0, bytes); }

  /// @brief Number of lines dropped in total.
  std::uint64_t dropped() const { return dropped_; }
  /// @brief Number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  bool IsKept(const LogLine& line) const;

  std::size_t max_bytes_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_BUFFER_H_
