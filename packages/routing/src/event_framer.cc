#include "gentianroute/routing/event_framer.h"

#include <algorithm>
#include <utility>

namespace gentianroute::routing {
namespace {

constexpr std::string_view kIdField = "id:";

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

}  // namespace

std::string EventFramer::Feed(std::string_view data) {
  partial_.append(data);
  const std::size_t end = EndOfWholeEvents(partial_);
  std::string whole = partial_.substr(0, end);
  partial_.erase(0, end);
  RecordIds(whole);
  return whole;
}

std::string EventFramer::TakePartial() {
  return std::exchange(partial_, {});
}

void EventFramer::RecordIds(std::string_view events) {
  std::size_t at = 0;
  while (at < events.size()) {
    const std::size_t end = std::min(events.find('\n', at), events.size());
    const std::string_view line = events.substr(at, end - at);
    if (line.starts_with(kIdField)) {
      last_id_ = Trimmed(line.substr(kIdField.size()));
      ++events_;
    }
    at = end + 1;
  }
}

}  // namespace gentianroute::routing
