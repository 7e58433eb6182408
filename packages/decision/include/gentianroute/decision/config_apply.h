#ifndef GENTIANROUTE_DECISION_CONFIG_APPLY_H_
#define GENTIANROUTE_DECISION_CONFIG_APPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/base/table.h"
#include "gentianroute/decision/config.h"
#include "gentianroute/decision/config_follower.h"

namespace gentianroute {

/// @brief One operator's change on its way into the log.
///
/// The change is one transaction that appends revision N+1 under the condition
/// that N is the last, and leaves a row under the change id. A lost answer is
/// settled by that row, at any daemon and long after: the same change is safe
/// to send again, since its row can be written only once.
///
/// A change without an id only reads the log, and ends as kCaughtUp.
class ConfigApply {
 public:
  enum class State : std::uint8_t {
    kTransact,     ///< send transaction()
    kRead,         ///< read reads()
    kGetObject,    ///< get object() from the object store
    kApplied,      ///< in the log as revision()
    kConflict,     ///< somebody else changed conflicting()
    kInvalid,      ///< would break what is in force by now, see problem()
    kUnreachable,  ///< may or may not be in the log; ask again with the same id
    kCaughtUp,     ///< no change was asked for and the log has been read
  };
  struct Options {
    std::uint32_t max_tries = 8;
    ConfigRetention retention;
  };

  ConfigApply(ConfigRevision change,
              ConfigFollower& follower,
              const ConfigCodec& codec)
      : ConfigApply(Options{}, std::move(change), follower, codec) {}
  ConfigApply(Options options,
              ConfigRevision change,
              ConfigFollower& follower,
              const ConfigCodec& codec);

  State state() const { return state_; }
  const TableTransaction& transaction() const { return transaction_; }
  const std::vector<TableKey>& reads() const { return reads_; }
  const std::string& object() const { return object_; }
  void OnTransacted(const TransactResult& result);
  void OnRead(const ReadResult& result);
  /// @param content none if the store did not answer or has no such object
  void OnObject(const std::optional<std::string>& content);

  std::uint64_t revision() const { return change_.revision; }
  /// @brief With kConflict: the document that both sides changed.
  const DocumentName& conflicting() const { return conflicting_; }
  /// @brief With kConflict: what this change would have written; empty: delete.
  const std::string& ours() const { return ours_; }
  /// @brief With kConflict: what stands there now; an empty body: deleted.
  const Document& theirs() const { return theirs_; }
  /// @brief With kInvalid: what is wrong, for the operator.
  const std::string& problem() const { return problem_; }

 private:
  void ReadLog();
  void CatchUp();
  void Retry();
  void GiveUp();
  void Propose();
  void ApplyRows(const ReadResult& result);
  bool CanUseSnapshot() const;
  bool DetectConflict();
  bool DetectProblem();

  Options options_;
  ConfigRevision change_;
  ConfigFollower& follower_;
  const ConfigCodec& codec_;
  State state_ = State::kRead;
  TableTransaction transaction_;
  std::vector<TableKey> reads_;
  std::string object_;
  DocumentName conflicting_;
  std::string ours_;
  Document theirs_;
  std::string problem_;
  std::uint64_t head_version_ = 0;
  std::uint64_t head_revision_ = 0;
  std::uint64_t snapshot_revision_ = 0;
  std::uint64_t read_after_ = 0;  ///< where the last read of the log began
  std::uint32_t tries_ = 0;
  bool object_failed_ = false;
  bool own_change_found_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_APPLY_H_
