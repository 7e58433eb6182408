#include "gentianroute/entry/history_sync.h"

#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

constexpr Duration kSavePeriod = std::chrono::minutes(10);
constexpr Duration kReadAgain = std::chrono::seconds(5);

}  // namespace

HistorySync::HistorySync(EventLoop& loop,
                         ObjectStore& store,
                         ServiceLevels& levels,
                         std::string_view daemon)
    : loop_(loop),
      store_(store),
      levels_(levels),
      object_("service-levels/" + std::string(daemon)) {}

void HistorySync::Start() {
  Read();
  loop_.Every(kSavePeriod, [this] { Save(); });
}

void HistorySync::Read() {
  store_.Get(object_, [this](const ObjectResult& result) {
    if (!result.answered) {
      loop_.After(kReadAgain, [this] { Read(); });
      return;
    }
    read_ = true;
    const TimePoint now{Duration(loop_.WallTime())};
    if (result.content.has_value() && !levels_.Import(now, *result.content)) {
      LogEvent("history_unreadable", LogLevel::kWarning)
          .Field("object", object_);
    }
  });
}

void HistorySync::Save() {
  if (!read_) {
    return;
  }
  store_.Put(object_, levels_.Export(), [this](bool stored) {
    if (!stored) {
      LogEvent("history_not_saved", LogLevel::kWarning)
          .Field("object", object_);
    }
  });
}

}  // namespace gentianroute
