#ifndef GENTIANROUTE_DECISION_CONFIG_APPLIER_H_
#define GENTIANROUTE_DECISION_CONFIG_APPLIER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/base/table.h"
#include "gentianroute/decision/config.h"
#include "gentianroute/decision/config_follower.h"

namespace gentianroute {

/// @brief Appends an operator's change to the configuration log.
///
/// One transaction appends revision N+1 on condition that N is the newest, and
/// writes a row for the change id. That row makes the change idempotent: it can
/// be written only once, so after a lost response the same change can be sent
/// again, to any daemon and at any later time.
///
/// A change without an id only reads the log and ends in kCaughtUp.
class ConfigApplier {
 public:
  enum class State : std::uint8_t {
    kTransact,     ///< send transaction()
    kRead,         ///< read reads()
    kGetObject,    ///< get object() from the object store
    kApplied,      ///< done: in the log as revision()
    kConflict,     ///< done: another change has modified conflicting()
    kInvalid,      ///< done: invalid with the current documents, see problem()
    kUnreachable,  ///< outcome unknown; retry with the same change id
    kCaughtUp,     ///< done: the log was read and there was no change to apply
  };
  struct Options {
    std::uint32_t max_tries = 8;
    ConfigRetention retention;
  };

  ConfigApplier(ConfigRevision change,
                ConfigFollower& follower,
                const ConfigCodec& codec)
      : ConfigApplier(Options{}, std::move(change), follower, codec) {}
  ConfigApplier(Options options,
                ConfigRevision change,
                ConfigFollower& follower,
                const ConfigCodec& codec);

  State state() const { return state_; }
  const TableTransaction& transaction() const { return transaction_; }
  const std::vector<TableKey>& reads() const { return reads_; }
  const std::string& object() const { return object_; }
  void OnTransacted(const TransactResult& result);
  void OnRead(const ReadResult& result);
  /// @param content empty if the store didn't respond or has no such object
  void OnObject(const std::optional<std::string>& content);

  std::uint64_t revision() const { return change_.revision; }
  /// @brief With kConflict: the document that both changes modified.
  const DocumentName& conflicting() const { return conflicting_; }
  /// @brief With kConflict: this change's body; empty if it deletes.
  const std::string& ours() const { return ours_; }
  /// @brief With kConflict: the current document; the body is empty if it has
  /// been deleted.
  const Document& theirs() const { return theirs_; }
  /// @brief With kInvalid: error message for the operator.
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
  std::uint64_t read_after_ = 0;  ///< revision before the first one last read
  std::uint32_t tries_ = 0;
  bool object_failed_ = false;
  bool own_change_found_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_APPLIER_H_
