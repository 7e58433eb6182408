#ifndef GENTIANROUTE_OBSERVE_LOG_H_
#define GENTIANROUTE_OBSERVE_LOG_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gentianroute {

enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/// @brief Which lines are dropped first when the log buffer fills up.
enum class LogPriority : std::uint8_t {
  kLow,     ///< a step of a request
  kNormal,  ///< the successful end of a request
  kHigh,    ///< a failure or a state of the process
};

/// @brief One line, as passed to the log destination.
struct LogLine {
  std::string_view text;  ///< without a newline
  LogPriority priority = LogPriority::kHigh;
  std::uint64_t request_hash = 0;  ///< equal for all lines of a request; 0 for
                                   ///< lines of no request
};

/// @brief One event, logged as one line of key=value pairs on destruction.
///
/// @example LogEvent("drain_begun").Field("active", 3);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// @brief Assigns the line to a request: adds its id and sets the priority.
  LogEvent& ForRequest(std::string_view request, LogPriority priority);
  /// @brief Adds a pair; the value is quoted if necessary, see QuoteLogValue().
  LogEvent& Field(std::string_view key, std::string_view value);
  LogEvent& Field(std::string_view key, const char* value) {
    return Field(key, std::string_view(value));
  }
  LogEvent& Field(std::string_view key, std::integral auto value) {
    return Field(key, std::string_view(std::to_string(value)));
  }
  LogEvent& Field(std::string_view key, std::floating_point auto value) {
    return Field(key, std::string_view(std::to_string(value)));
  }

 private:
  LogLevel level_;
  LogPriority priority_ = LogPriority::kHigh;
  std::uint64_t request_hash_ = 0;
  std::string line_;
};

/// @brief Initialises glog to write lines to stderr without a prefix of its
/// own.
void InitialiseLogging(const char* program);

using LogDestination = std::function<void(const LogLine&)>;

/// @brief Replaces stderr as the destination of all log lines.
/// @param destination null restores stderr
void SetLogDestination(LogDestination destination);

/// @brief Quotes and escapes a value that is empty or has white space, quotes,
/// `=` or backslashes; returns any other value unchanged.
std::string QuoteLogValue(std::string_view value);

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_H_
