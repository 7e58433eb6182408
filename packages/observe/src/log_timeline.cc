#include "gentianroute/observe/log_timeline.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace gentianroute {
namespace {

constexpr std::string_view kTimePrefix = "time=";

/// Reads one `key=value` from the front of a text.
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

bool ListContains(std::string_view list, std::string_view request) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (list.substr(0, end) == request) {
      return true;
    }
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

/// What an outcome means, in words for whoever is on call.
struct OutcomeDescription {
  std::string_view outcome;
  std::string_view description;
};
constexpr std::array kOutcomeDescriptions = {
    OutcomeDescription{"answered", "It was answered; nothing failed."},
    OutcomeDescription{"caller_gone",
                       "Its caller closed the connection before the end."},
    OutcomeDescription{
        "server_failure",
        "The server itself answered with a failure, which was passed on."},
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
        "Its time was over before its server was asked; it has not run."},
    OutcomeDescription{
        "deadline_exceeded",
        "Its time was over while a server had it; the server was too slow "
        "or silent."},
    OutcomeDescription{
        "outcome_unknown",
        "Its server broke the connection; it may have run, and may not be "
        "sent again."},
    OutcomeDescription{
        "stream_broken",
        "Its stream broke after it had begun, and could not go on "
        "elsewhere."},
    OutcomeDescription{"no_server",
                       "No server could take it or one of its stages."},
    OutcomeDescription{"unauthorised",
                       "Its key belonged to nobody in the configuration "
                       "that was in force."},
    OutcomeDescription{"unknown_service",
                       "No route of the configuration that was in "
                       "force has its host and path."},
    OutcomeDescription{"not_ready",
                       "The daemon did not know the configuration yet."},
    OutcomeDescription{"shutting_down", "The daemon was stopping."},
    OutcomeDescription{"malformed_request", "It had no id."},
};

std::string DescribeOutcome(std::string_view outcome) {
  const auto found = std::find_if(
      kOutcomeDescriptions.begin(), kOutcomeDescriptions.end(),
      [outcome](const OutcomeDescription& m) { return m.outcome == outcome; });
  return std::string(found == kOutcomeDescriptions.end() ? outcome
                                                         : found->description);
}

/// The last step with an event, before a position.
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

/// A stage that was handed out and did not end, before a position.
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

/// Adds what the steps before the end say of its cause.
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
    diagnosis.cause += " The last server that had it was " +
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

bool LogTimeline::IsAbout(const ParsedLogLine& line) const {
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
  if (IsAbout(*parsed)) {
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
    diagnosis.cause = "No line is about this request.";
    diagnosis.missing.emplace_back(
        "Either no daemon of these files had it, or its lines were dropped.");
    AddContext(diagnosis);
    return diagnosis;
  }
  const auto end =
      FindLastBefore(diagnosis.steps, diagnosis.steps.size(), "request_end");
  if (!end) {
    diagnosis.decisive = diagnosis.steps.size() - 1;
    diagnosis.cause =
        "Its end is not told: its daemon died, the line was dropped, "
        "or it goes on.";
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
        "no request_admitted line: it was refused on arrival, or it was not "
        "among the sampled requests");
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
      // Every daemon tells of it; once is enough.
      if (diagnosis.cause.find(" That server was seen as ") ==
          std::string::npos) {
        diagnosis.cause += note;
      }
    }
    const bool restarted = line.event == "started" &&
                           line.source == decisive.source &&
                           line.time > diagnosis.steps.front().time;
    if (restarted && diagnosis.steps.back().event != "request_end") {
      diagnosis.cause += " Its daemon started anew at " + line.time + ".";
    }
  }
}

}  // namespace gentianroute
