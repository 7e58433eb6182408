#include "gentianroute/observe/log_timeline.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace gentianroute {
namespace {

constexpr std::string_view kTimePrefix = "time=";

/// Parses one `key=value` pair and removes it from the front of `text`.
/// @return false if no pair is left
bool ParseField(std::string_view& text, std::string& key, std::string& value) {
  const std::size_t from = text.find_first_not_of(' ');
  const std::size_t equals = text.find('=', from);
  if (from == std::string_view::npos || equals == std::string_view::npos) {
    return false;
  }
  key = text.substr(from, equals - from);
  text.remove_prefix(equals + 1);
  value.clear();
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return true;
  }
  std::size_t at = 1;
  for (; at < text.size() && text[at] != '"'; ++at) {
    const bool escape = text[at] == '\\' && at + 1 < text.size();
    at += escape ? 1 : 0;
    value += escape && text[at] == 'n' ? '\n' : text[at];
  }
  text.remove_prefix(std::min(at + 1, text.size()));
  return true;
}

/// Whether a comma-separated list contains `item`.
bool ListContains(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (list.substr(0, end) == item) {
      return true;
    }
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

/// Explanation of an outcome for the engineer on call.
struct OutcomeDescription {
  std::string_view outcome;
  std::string_view description;
};
constexpr std::array kOutcomeDescriptions = {
    OutcomeDescription{"answered", "The request was answered; nothing failed."},
    OutcomeDescription{
        "caller_gone",
        "The caller closed the connection before the answer was complete."},
    OutcomeDescription{
        "server_failure",
        "The server answered with a failure, which was passed on."},
    OutcomeDescription{
        "overloaded",
        "It was refused and has not run: its work could not be done while "
        "its caller waits, or no server took it."},
    OutcomeDescription{
        "deadline_too_short",
        "It was given up and has not run: its stages could not end in "
        "time."},
    OutcomeDescription{
        "deadline_before_start",
        "The deadline passed before a server was called; the request has not "
        "run."},
    OutcomeDescription{
        "deadline_exceeded",
        "The deadline passed while a server was processing the request; "
        "the server was too slow or did not respond."},
    OutcomeDescription{
        "outcome_unknown",
        "The connection to the server broke; the request may have run, so it "
        "was not sent again."},
    OutcomeDescription{
        "stream_broken",
        "The stream broke after it had started and could not be resumed "
        "on another server."},
    OutcomeDescription{
        "no_server",
        "No server was available for the request or one of its stages."},
    OutcomeDescription{"unauthorised",
                       "The API key was unknown in the configuration "
                       "that was in force."},
    OutcomeDescription{"unknown_service",
                       "No route in the configuration that was in "
                       "force matches its host and path."},
    OutcomeDescription{"not_ready",
                       "The daemon had not loaded a configuration yet."},
    OutcomeDescription{"shutting_down", "The daemon was stopping."},
    OutcomeDescription{"malformed_request", "The request had no id."},
};

std::string DescribeOutcome(std::string_view outcome) {
  const auto found = std::find_if(
      kOutcomeDescriptions.begin(), kOutcomeDescriptions.end(),
      [outcome](const OutcomeDescription& m) { return m.outcome == outcome; });
  return std::string(found == kOutcomeDescriptions.end() ? outcome
                                                         : found->description);
}

/// Index of the last step with `event` before index `before`.
std::optional<std::size_t> FindLastBefore(
    const std::vector<ParsedLogLine>& steps,
    std::size_t before,
    std::string_view event) {
  for (std::size_t i = before; i > 0; --i) {
    if (steps[i - 1].event == event) {
      return i - 1;
    }
  }
  return std::nullopt;
}

/// Index of the last stage_handed step before index `before` whose stage did
/// not end successfully until then.
std::optional<std::size_t> FindUnfinishedStage(
    const std::vector<ParsedLogLine>& steps,
    std::size_t before) {
  for (std::size_t i = before; i > 0; --i) {
    const ParsedLogLine& handed = steps[i - 1];
    if (handed.event != "stage_handed") {
      continue;
    }
    const bool ended =
        std::any_of(steps.begin() + static_cast<std::ptrdiff_t>(i),
                    steps.begin() + static_cast<std::ptrdiff_t>(before),
                    [&handed](const ParsedLogLine& line) {
                      return line.event == "stage_end" &&
                             line.Value("stage") == handed.Value("stage") &&
                             line.Value("outcome") == "done";
                    });
    if (!ended) {
      return i - 1;
    }
  }
  return std::nullopt;
}

std::string StringValue(const ParsedLogLine& line, std::string_view field) {
  return std::string(line.Value(field));
}

/// Extends the cause with the unfinished stage, or else the last server, found
/// in the steps before the end.
void AddCauseDetails(RequestDiagnosis& diagnosis, std::size_t end) {
  const ParsedLogLine& last = diagnosis.steps[end];
  const std::string_view outcome = last.Value("outcome");
  if (outcome == "answered" || outcome == "caller_gone") {
    return;
  }
  if (const auto unfinished = FindUnfinishedStage(diagnosis.steps, end)) {
    const ParsedLogLine& stage = diagnosis.steps[*unfinished];
    diagnosis.decisive = *unfinished;
    diagnosis.cause += " Stage " + StringValue(stage, "stage") + " (" +
                       StringValue(stage, "service") + " in " +
                       StringValue(stage, "data_centre") + ", " +
                       StringValue(stage, "pieces") +
                       " pieces) had not ended; it was handed to '" +
                       StringValue(stage, "scheduler") + "'.";
    return;
  }
  if (const auto sent = FindLastBefore(diagnosis.steps, end, "request_sent")) {
    const ParsedLogLine& line = diagnosis.steps[*sent];
    diagnosis.decisive = *sent;
    diagnosis.cause += " The last server it was sent to was " +
                       StringValue(line, "server") + " in " +
                       StringValue(line, "data_centre") + ", with " +
                       StringValue(line, "server_calls") + " other calls.";
  }
}

}  // namespace

std::string_view ParsedLogLine::Value(std::string_view name) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(),
                   [name](const auto& field) { return field.first == name; });
  return found == fields.end() ? std::string_view{} : found->second;
}

std::optional<ParsedLogLine> ParseLogLine(std::string_view source,
                                          std::string_view line) {
  const std::size_t from = line.find(kTimePrefix);
  if (from == std::string_view::npos) {
    return std::nullopt;
  }
  ParsedLogLine parsed;
  parsed.source = source;
  std::string_view before = line.substr(0, from);
  while (!before.empty() &&
         std::isspace(static_cast<unsigned char>(before.back())) != 0) {
    before.remove_suffix(1);
  }
  parsed.source += before.empty() ? "" : " " + std::string(before);
  parsed.text = line.substr(from);
  std::string_view rest = parsed.text;
  std::string key;
  std::string value;
  while (ParseField(rest, key, value)) {
    if (key == "time") {
      parsed.time = value;
    } else if (key == "event") {
      parsed.event = value;
    } else {
      parsed.fields.emplace_back(key, value);
    }
  }
  if (parsed.event.empty()) {
    return std::nullopt;
  }
  return parsed;
}

bool LogTimeline::BelongsToRequest(const ParsedLogLine& line) const {
  return line.Value("id") == request_ ||
         ListContains(line.Value("requests"), request_);
}

bool LogTimeline::IsContext(const ParsedLogLine& line) {
  return line.event == "log_lines_dropped" || line.event == "started" ||
         (line.event == "server_seen" && line.Value("state") != "open");
}

void LogTimeline::Add(std::string_view source, std::string_view line) {
  auto parsed = ParseLogLine(source, line);
  if (!parsed) {
    return;
  }
  if (BelongsToRequest(*parsed)) {
    steps_.push_back(std::move(*parsed));
  } else if (IsContext(*parsed)) {
    context_lines_.push_back(std::move(*parsed));
  }
}

RequestDiagnosis LogTimeline::Diagnose() const {
  RequestDiagnosis diagnosis;
  diagnosis.steps = steps_;
  std::stable_sort(
      diagnosis.steps.begin(), diagnosis.steps.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  if (diagnosis.steps.empty()) {
    diagnosis.cause = "No log line mentions this request.";
    diagnosis.missing.emplace_back(
        "Either no daemon of these files received the request, or its lines "
        "were dropped.");
    AddContext(diagnosis);
    return diagnosis;
  }
  const auto end =
      FindLastBefore(diagnosis.steps, diagnosis.steps.size(), "request_end");
  if (!end) {
    diagnosis.decisive = diagnosis.steps.size() - 1;
    diagnosis.cause =
        "The end of the request is not logged: its daemon stopped, the line "
        "was dropped, or the request is still running.";
    diagnosis.missing.emplace_back("no request_end line");
  } else {
    diagnosis.decisive = *end;
    const std::string detail = StringValue(diagnosis.steps[*end], "detail");
    diagnosis.cause = DescribeOutcome(diagnosis.steps[*end].Value("outcome"));
    diagnosis.cause +=
        detail.empty() ? "" : " The daemon said: " + detail + ".";
    AddCauseDetails(diagnosis, *end);
  }
  if (!FindLastBefore(diagnosis.steps, diagnosis.steps.size(),
                      "request_admitted")) {
    diagnosis.missing.emplace_back(
        "no request_admitted line: the request was refused on arrival, or it "
        "was not among the sampled requests");
  }
  AddContext(diagnosis);
  return diagnosis;
}

void LogTimeline::AddContext(RequestDiagnosis& diagnosis) const {
  for (const ParsedLogLine& line : context_lines_) {
    if (line.event == "log_lines_dropped") {
      diagnosis.missing.push_back(line.source + " dropped " +
                                  StringValue(line, "lines") + " lines up to " +
                                  line.time);
      continue;
    }
    if (diagnosis.steps.empty()) {
      continue;
    }
    const ParsedLogLine& decisive = diagnosis.steps[diagnosis.decisive];
    const bool same_server = line.event == "server_seen" &&
                             line.Value("server") == decisive.Value("server");
    if (same_server) {
      const std::string note = " That server was seen as " +
                               StringValue(line, "state") + " at " + line.time +
                               ".";
      // Each daemon logs the same server state; mention it once.
      if (diagnosis.cause.find(" That server was seen as ") ==
          std::string::npos) {
        diagnosis.cause += note;
      }
    }
    const bool restarted = line.event == "started" &&
                           line.source == decisive.source &&
                           line.time > diagnosis.steps.front().time;
    if (restarted && diagnosis.steps.back().event != "request_end") {
      diagnosis.cause += " Its daemon restarted at " + line.time + ".";
    }
  }
}

}  // namespace gentianroute
