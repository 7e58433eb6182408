#include "gentianroute/routing/event_framer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gentianroute::routing {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";

/// Position after the last empty line; 0 if there is none.
std::size_t EndOfWholeEvents(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view blank : {"\n\n", "\n\r\n"}) {
    const std::size_t at = text.rfind(blank);
    if (at != std::string_view::npos) {
      end = std::max(end, at + blank.size());
    }
  }
  return end;
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(' ');
  if (from == std::string_view::npos) {
    return {};
  }
  return text.substr(from, text.find_last_not_of("\r ") + 1 - from);
}

/// Removes the first line from a text.
/// @return the line, without its end
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Removes the first event, with the empty line that ends it, from whole ones.
std::string_view TakeEvent(std::string_view& events) {
  std::string_view rest = events;
  while (!rest.empty() && !TakeLine(rest).empty()) {
  }
  const std::string_view event = events.substr(0, events.size() - rest.size());
  events = rest;
  return event;
}

/// Empty if the event has none.
std::string_view IdOf(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (line.starts_with(kIdField)) {
      return Trimmed(line.substr(kIdField.size()));
    }
  }
  return {};
}

std::string DataOf(std::string_view event) {
  std::string data;
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (line.starts_with(kDataField)) {
      data.append(line).push_back('\n');
    }
  }
  return data;
}

std::optional<std::uint64_t> ParseId(std::string_view text) {
  const char* const end = text.data() + text.size();
  std::uint64_t id = 0;
  const auto result = std::from_chars(text.data(), end, id);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return id;
}

}  // namespace

void EventFramer::BeginRun(std::string_view after) {
  partial_.clear();
  after_ = ParseId(after);
  join_ = after_ ? Join::kOpen : Join::kNew;
}

std::string EventFramer::Feed(std::string_view data) {
  partial_.append(data);
  const std::size_t end = EndOfWholeEvents(partial_);
  const std::string_view received = std::string_view(partial_).substr(0, end);
  std::string whole;
  for (std::string_view rest = received; !rest.empty();) {
    const std::string_view event = TakeEvent(rest);
    if (Admit(event)) {
      whole.append(event);
    }
  }
  partial_.erase(0, end);
  return whole;
}

std::string EventFramer::TakePartial() {
  return std::exchange(partial_, {});
}

bool EventFramer::Admit(std::string_view event) {
  const std::string_view id = IdOf(event);
  const auto number = ParseId(id);
  if (number && after_) {
    join_ = JoinWith(*number, *after_, event);
  }
  const bool passes = join_ == Join::kNew || (join_ == Join::kOpen && !number);
  if (passes && !id.empty()) {
    Record(id, event);
  }
  return passes;
}

EventFramer::Join EventFramer::JoinWith(EventId id,
                                        EventId after,
                                        std::string_view event) const {
  if (IsOtherRun()) {
    return Join::kOtherRun;
  }
  if (id > after) {
    return IsBehind() ? Join::kOtherRun : Join::kNew;
  }
  // Without the caller's last event there is nothing to compare with.
  if (join_ == Join::kNew || last_event_.empty()) {
    return Join::kOtherRun;
  }
  if (id < after) {
    return Join::kBehind;
  }
  return DataOf(event) == DataOf(last_event_) ? Join::kOpen : Join::kOtherRun;
}

void EventFramer::Record(std::string_view id, std::string_view event) {
  ++events_;
  const auto last = ParseId(last_id_);
  const auto number = ParseId(id);
  if (last && number && *number < *last) {
    return;
  }
  last_id_ = id;
  last_event_ = event;
}

}  // namespace gentianroute::routing
