#ifndef GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_
#define GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianroute {

/// @brief One log line, taken apart.
struct ParsedLogLine {
  std::string source;  ///< the file, and what stands before the line in it
  std::string time;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< all others
  std::string text;                                         ///< as it stood

  /// @return the field's value; empty if there is none
  std::string_view Value(std::string_view name) const;
};

/// @brief Takes a line of key=value pairs apart; what stands before `time=`
/// belongs to its source.
/// @return nothing if it is no such line
std::optional<ParsedLogLine> ParseLogLine(std::string_view source,
                                          std::string_view line);

/// @brief What the lines of several daemons say of one request.
struct RequestDiagnosis {
  std::vector<ParsedLogLine> steps;  ///< in the order of their times
  std::size_t decisive = 0;          ///< of `steps`; meaningless if none
  std::string cause;                 ///< in plain words
  std::vector<std::string> missing;  ///< what the lines don't tell, and why
};

/// @brief Collects the lines about one request and finds why it ended so.
///
/// @example
/// LogTimeline timeline("9c41d07be2a35f68");
/// timeline.Add("edge-1.log", line);
/// timeline.Diagnose().cause;
class LogTimeline {
 public:
  explicit LogTimeline(std::string request) : request_(std::move(request)) {}

  void Add(std::string_view source, std::string_view line);
  RequestDiagnosis Diagnose() const;

 private:
  bool IsAbout(const ParsedLogLine& line) const;
  /// News of servers, schedulers and lost lines, that may explain a step.
  static bool IsContext(const ParsedLogLine& line);
  void AddContext(RequestDiagnosis& diagnosis) const;

  std::string request_;
  std::vector<ParsedLogLine> steps_;
  std::vector<ParsedLogLine> context_lines_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_LOG_TIMELINE_H_
