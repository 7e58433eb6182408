#ifndef GENTIANROUTE_OBSERVE_LOG_BUFFER_H_
#define GENTIANROUTE_OBSERVE_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gentianroute/observe/log.h"

namespace gentianroute {

/// @brief Lines that wait to be written, in a bounded number of bytes.
///
/// Load pattern: a reader that is slower than the lines come, as at several
/// times the usual load or while it stands still. Dropped at random, lines
/// would leave every request half told. So the fuller the buffer, the fewer
/// requests are told, each of them whole, and what tells of failures goes last.
class LogBuffer {
 public:
  explicit LogBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// @brief Takes a line, or counts it as dropped.
  void Add(const LogLine& line);
  /// @brief What waits, each line with its end.
  std::string_view pending() const { return pending_; }
  /// @brief The first bytes of what waits have been written.
  void OnWritten(std::size_t bytes) { pending_.erase(0, bytes); }

  std::uint64_t dropped() const { return dropped_; }
  /// @brief Lines dropped since the last call.
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
