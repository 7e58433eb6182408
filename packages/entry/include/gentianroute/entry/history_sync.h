#ifndef GENTIANROUTE_ENTRY_HISTORY_SYNC_H_
#define GENTIANROUTE_ENTRY_HISTORY_SYNC_H_

#include <string>
#include <string_view>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/observe/service_level.h"
#include "gentianroute/platform/platform.h"

namespace gentianroute {

/// @brief Keeps a daemon's long service-level windows in the object store.
///
/// One object for each daemon name, written every ten minutes: 810 daemons
/// write 1.4 a second. A replaced host of the same name goes on from it and
/// loses what was counted since, ten minutes at most.
class HistorySync {
 public:
  HistorySync(EventLoop& loop,
              ObjectStore& store,
              ServiceLevels& levels,
              std::string_view daemon);

  /// @brief Reads what an earlier process left, then saves now and then.
  void Start();
  /// @brief Saves now, as a stop does. Nothing happens before the read has been
  /// answered: writing first would wipe out the history it has not seen.
  void Save();

 private:
  void Load();

  EventLoop& loop_;
  ObjectStore& store_;
  ServiceLevels& levels_;
  std::string object_;
  bool loaded_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_HISTORY_SYNC_H_
