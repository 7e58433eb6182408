#ifndef GENTIANROUTE_ENTRY_CONFIG_SYNC_H_
#define GENTIANROUTE_ENTRY_CONFIG_SYNC_H_

#include <functional>
#include <memory>

#include "gentianroute/decision/config_applier.h"
#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/config_snapshotter.h"
#include "gentianroute/platform/platform.h"

namespace gentianroute {

/// @brief Reads the configuration log in the table service and appends to it.
class ConfigSync {
 public:
  using DoneCallback = std::function<void(const ConfigApplier&)>;

  /// @param on_changed called after a newer revision was applied
  ConfigSync(TableService& tables,
             ObjectStore& objects,
             ConfigFollower& follower,
             const ConfigCodec& codec,
             std::function<void()> on_changed,
             ConfigRetention retention = {});

  /// @brief Reads the revisions after the current one. Does nothing, and does
  /// not call `done`, if an earlier poll is still running.
  /// @param done called with true if the log was read, false otherwise
  void Poll(std::function<void(bool)> done);
  /// @brief Applies an operator's change.
  /// @param done called once, with the final state
  void Apply(ConfigRevision change, const DoneCallback& done);

 private:
  void Advance(const std::shared_ptr<ConfigApplier>& applier,
               const DoneCallback& done);
  void SnapshotIfDue(const ConfigApplier& applier);
  void AdvanceSnapshot();
  void ReportChange();

  TableService& tables_;
  ObjectStore& objects_;
  ConfigFollower& follower_;
  const ConfigCodec& codec_;
  std::function<void()> on_changed_;
  ConfigRetention retention_;
  std::uint64_t reported_revision_ = 0;
  ConfigSnapshotter snapshotter_;
  bool polling_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CONFIG_SYNC_H_
