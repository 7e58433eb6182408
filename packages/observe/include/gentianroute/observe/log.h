#ifndef GENTIANROUTE_OBSERVE_LOG_H_
#define GENTIANROUTE_OBSERVE_LOG_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gentianroute {

enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/// @brief How long a line is kept when lines come faster than they are read.
enum class LogPriority : std::uint8_t {
  kLow,     ///< one step on the way of a request
  kNormal,  ///< the good end of a request
  kHigh,    ///< a failure, or what the process believes
};

/// @brief One line, as it goes to its destination.
struct LogLine {
  std::string_view text;  ///< without its end
  LogPriority priority = LogPriority::kHigh;
  std::uint64_t request_hash = 0;  ///< the same for all lines of one request
};

/// @brief One event as one line of key=value pairs, written when it goes out
/// of scope.
///
/// @example LogEvent("drain_begun").Field("active", 3);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// @brief Says which request the line is about, and adds its id.
  LogEvent& ForRequest(std::string_view request, LogPriority priority);
  /// @brief Adds a pair; a value with spaces or quotes is quoted.
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

/// @brief Sends log lines to stderr without glog's own prefix.
void InitialiseLogging(const char* program);

using LogDestination = std::function<void(const LogLine&)>;

/// @brief Sends whole lines elsewhere than to stderr.
/// @param destination null: back to stderr
void SetLogDestination(LogDestination destination);

/// @brief The value as it stands in a line.
std::string QuoteLogValue(std::string_view value);

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_H_
