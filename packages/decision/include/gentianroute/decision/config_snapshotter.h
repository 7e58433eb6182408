#ifndef GENTIANROUTE_DECISION_CONFIG_SNAPSHOTTER_H_
#define GENTIANROUTE_DECISION_CONFIG_SNAPSHOTTER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentianroute/base/table.h"
#include "gentianroute/decision/config.h"
#include "gentianroute/decision/config_follower.h"

namespace gentianroute {

/// @brief Writes snapshots of the configuration and deletes the log rows that
/// they make obsolete.
///
/// The daemon whose change gets a revision at which a snapshot is due writes
/// it; if that daemon crashes, the next snapshot covers both. All row writes
/// are conditional, so that concurrent writers, delayed writes and lost
/// responses are harmless. Rows are deleted only if a snapshot that is known to
/// be stored covers them.
class ConfigSnapshotter {
 public:
  enum class State : std::uint8_t {
    kIdle,
    kPut,       ///< put content() as object()
    kRead,      ///< read reads()
    kTransact,  ///< send transaction()
  };

  explicit ConfigSnapshotter(const ConfigCodec& codec)
      : ConfigSnapshotter({}, codec) {}
  ConfigSnapshotter(ConfigRetention retention, const ConfigCodec& codec);

  /// @brief Starts a snapshot if one is due at a revision that was just
  /// applied.
  /// @return false if none is due or one is in progress
  bool Begin(const ConfigFollower& follower, std::uint64_t applied);

  State state() const { return state_; }
  const std::string& object() const { return object_; }
  const std::string& content() const { return content_; }
  const std::vector<TableKey>& reads() const { return reads_; }
  const TableTransaction& transaction() const { return transaction_; }

  void OnPut(bool stored);
  void OnRead(const ReadResult& result);
  void OnTransacted(const TransactResult& result);

 private:
  void ReadRows();
  void RecordSnapshot(std::uint64_t version);
  void DeleteRows(const ReadResult& result, const TableRow& floor);

  ConfigRetention retention_;
  const ConfigCodec& codec_;
  State state_ = State::kIdle;
  std::uint64_t revision_ = 0;
  std::uint64_t floor_ = 0;  ///< last known value of the kConfigFloorKey row
  std::string object_;
  std::string content_;
  std::vector<TableKey> reads_;
  TableTransaction transaction_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_SNAPSHOTTER_H_
