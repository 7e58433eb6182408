#include "gentianroute/entry/history_sync.h"

#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

constexpr Duration kSavePeriod = std::chrono::minutes(10);
constexpr Duration kReadRetryDelay = std::chrono::seconds(5);

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
  Load();
  loop_.Every(kSavePeriod, [this] { Save(); });
}

void HistorySync::Load() {
  store_.Get(object_, [this](const ObjectResult& result) {
    if (!result.answered) {
      loop_.After(kReadRetryDelay, [this] { Load(); });
      return;
    }
    loaded_ = true;
    const TimePoint now{Duration(loop_.WallTime())};
    if (result.content.has_value() && !levels_.Import(now, *result.content)) {
      LogEvent("history_unreadable", LogLevel::kWarning)
          .Field("object", object_);
    }
  });
}

void HistorySync::Save() {
  if (!loaded_) {
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
