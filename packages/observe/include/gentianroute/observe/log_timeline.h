#ifndef GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_
#define GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianroute {

/// @brief One parsed log line.
struct ParsedLogLine {
  std::string source;  ///< file name, and any prefix before `time=`
  std::string time;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< other fields
  std::string text;  ///< without the prefix

  /// @return the field's value; empty if there is none
  std::string_view Value(std::string_view name) const;
};

/// @brief Parses a line of key=value pairs; text before `time=` becomes part of
/// the source.
/// @return nothing if the line has no `time` or no `event`
std::optional<ParsedLogLine> ParseLogLine(std::string_view source,
                                          std::string_view line);

/// @brief The course of one request, from the log lines of several daemons.
struct RequestDiagnosis {
  std::vector<ParsedLogLine> steps;  ///< sorted by time
  /// Index in `steps` of the line that explains the outcome; unused if there
  /// are no steps.
  std::size_t decisive = 0;
  std::string cause;                 ///< explanation as full sentences
  std::vector<std::string> missing;  ///< gaps in the log and their reasons
};

/// @brief Collects the log lines of one request and determines the cause of its
/// outcome.
///
/// @example
/// LogTimeline timeline("9c41d07be2a35f68");
/// timeline.Add("edge-1.log", line);
/// timeline.Diagnose().cause;
class LogTimeline {
 public:
  explicit LogTimeline(std::string request) : request_(std::move(request)) {}

  /// @brief Keeps a line if it is about the request or may explain it.
  /// @param source name of the file or daemon
  void Add(std::string_view source, std::string_view line);
  /// @brief Diagnoses the request from the lines added so far.
  RequestDiagnosis Diagnose() const;

 private:
  bool BelongsToRequest(const ParsedLogLine& line) const;
  /// Whether a line of another subject may explain a step: a server that is not
  /// open, a daemon start or dropped log lines.
  static bool IsContext(const ParsedLogLine& line);
  /// Extends the cause and the missing lines by what the context lines explain.
  void AddContext(RequestDiagnosis& diagnosis) const;

  std::string request_;
  std::vector<ParsedLogLine> steps_;
  std::vector<ParsedLogLine> context_lines_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_
