#ifndef GENTIANROUTE_ENTRY_HISTORY_SYNC_H_
#define GENTIANROUTE_ENTRY_HISTORY_SYNC_H_

#include <string>
#include <string_view>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/observe/service_level.h"
#include "gentianroute/platform/platform.h"

namespace gentianroute {

/// @brief Saves a daemon's long service-level windows in the object store.
///
/// Each daemon name has one object, written every ten minutes; 810 daemons
/// write 1.4 objects per second in total. A replacement host of the same name
/// continues from the object and loses at most ten minutes of counts.
class HistorySync {
 public:
  HistorySync(EventLoop& loop,
              ObjectStore& store,
              ServiceLevels& levels,
              std::string_view daemon);

  /// @brief Loads the history of an earlier process and starts saving
  /// periodically.
  void Start();
  /// @brief Saves now. Does nothing before the history is loaded, since that
  /// would overwrite it.
  void Save();

 private:
  void Load();

  EventLoop& loop_;
  ObjectStore& store_;
  ServiceLevels& levels_;
  std::string object_;
  bool loaded_ = false;  ///< the store responded, with or without an object
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_HISTORY_SYNC_H_
