#ifndef GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
#define GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/gateway/freshness_question.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/gateway/store_contact.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief Rows of a table that are newer than a given version.
struct StoreChanges {
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;  ///< the rows are complete up to it; 0: no rows
  bool is_full = false;       ///< for a receiver that has no rows
  bool is_partial = false;    ///< there are newer rows than these
  /// Hashes of the keys of all rows that existed at `live_keys_version`, for a
  /// receiver whose version is older than the oldest kept deletion. Empty if
  /// `rows` contains the deletions itself.
  std::vector<std::uint64_t> live_key_hashes;
  std::uint64_t live_keys_version = 0;
};

/// @brief Where a daemon has a changed row from.
enum class ChangeSource : std::uint8_t { kStore, kPeer };

/// @brief Keeps a copy of one of the store's tables.
///
/// Reads the whole table once. One daemon of each data centre then follows the
/// changes, and the others copy from it, since each call to the store is
/// billed. Versions only increase: a read that is older than the copy is
/// discarded, so that a daemon never returns to an older configuration.
class StoreFollower final : public FreshnessSource {
 public:
  /// @param rows all current rows of the table
  using OnRows = std::function<void(const std::vector<StoredRow>& rows)>;
  using OnChange =
      std::function<void(const StoredRow& row, ChangeSource source)>;

  struct Listener {
    OnRows on_rows;      ///< the whole table was read
    OnChange on_change;  ///< one row changed
    std::function<void(bool reachable)> on_reachable;  ///< reachability changed
    /// First failed call after a successful one.
    std::function<void()> on_call_failed;
    /// Rows may have come and gone since the last answer without being seen.
    std::function<void()> on_rows_missed;
  };

  /// @param max_propagation_time limit for the time from a change in the store
  /// to its arrival here
  StoreFollower(EventLoop& loop,
                Store& store,
                StoreTable table,
                Duration max_propagation_time,
                Listener listener);
  ~StoreFollower() override;

  /// @brief Reads the table after a delay, unless a peer's copy arrives before.
  void Start(Duration delay);
  /// @brief Sets whether this daemon follows the table's changes itself.
  void SetFollowing(bool following);
  /// @brief Merges rows that a peer has read. Older ones are ignored.
  void MergePeerCopy(const StoreChanges& changes);
  /// @brief A peer that follows the store has no newer rows than this copy.
  void OnVouchedFor(TimePoint now) { vouched_at_ = now; }
  void AskIfFresh(FreshnessQuestion& question) override;
  /// @brief Returns the changes that a peer does not have, oldest first, up to
  /// the size of one message. The peer asks for the rest after it has merged
  /// these.
  /// @param known version of the newest change that the peer has
  StoreChanges ChangesAfter(std::uint64_t known) const;

  /// @brief Whether the copy has had all rows of the table at some time. It
  /// lacks some while a peer's copy arrives in parts.
  bool is_complete() const { return is_complete_; }
  bool reachable() const { return reachable_; }
  StoreContact contact() const;
  /// @brief Whether the store has answered since the last call to it that was
  /// due. A daemon that stood still has not, though no call has failed.
  bool HasAnsweredLately(TimePoint now) const;
  /// @brief Returns the time since the last successful call.
  Duration Age(TimePoint now) const { return now - answered_at_; }
  /// @brief Returns the version that this copy is complete up to.
  std::uint64_t version() const { return version_; }
  /// @brief Returns the version of the newest change, which may be a deletion.
  std::uint64_t newest_change() const { return newest_change_; }

 private:
  void ReadTable();
  /// To be called where a gap in the changes hides rows that came and went.
  void ReportIfRowsMissed();
  void MergeRows(const StoreChanges& changes);
  void FollowChanges();
  void OnTable(const StoreAnswer& answer);
  void OnChanges(const StoreAnswer& answer);
  void ApplyChanges(const StoreAnswer& answer);
  void AskNow();
  void OnAsked(const StoreAnswer& answer);
  void OnAskedTable(const StoreAnswer& answer);
  void AnswerAsked(bool is_fresh);
  void ReplaceTable(const std::vector<StoredRow>& rows, std::uint64_t version);
  /// Rows and deletions, oldest first.
  std::vector<const StoredRow*> NewerThan(std::uint64_t known) const;
  void RemoveMissingKeys(const StoreChanges& changes);
  void Apply(const StoredRow& row, ChangeSource source);
  void SendNextCall();
  void ScheduleCall(Duration delay);
  void AddTombstone(const StoredRow& row);
  void OnCallSucceeded();
  void OnCallFailed(const std::string& detail);

  EventLoop& loop_;
  Store& store_;
  StoreTable table_;
  Duration long_poll_timeout_;  ///< time for which the store holds a call
  Listener listener_;
  std::map<std::string, StoredRow, std::less<>> rows_;
  /// Deleted rows, kept to tell peers of the deletions.
  std::map<std::string, StoredRow, std::less<>> tombstones_;
  std::uint64_t tombstones_since_ = 0;  ///< older deletions may be missing
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  bool following_ = false;
  bool call_pending_ = false;
  bool is_loaded_ = false;  ///< some rows are known
  bool is_complete_ = false;
  bool reachable_ = false;
  std::uint32_t failures_ = 0;
  TimePoint answered_at_{};
  TimePoint vouched_at_{};
  TimerId timer_;
  FreshnessQuestions questions_;  ///< for the next call
  FreshnessQuestions asked_;      ///< by the present call
  bool asking_ = false;
  TimerId question_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
