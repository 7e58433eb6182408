#ifndef GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
#define GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/gateway/store.h"
#include "gentianroute/gateway/store_contact.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief Rows that are newer than a version.
struct StoreChanges {
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;  ///< that these are complete up to; 0: none
  bool is_full = false;       ///< for one that knows nothing of the table yet
  /// Hashes of the keys of all rows that there were at a version, for one that
  /// can't be told all deletions before it; empty: it can.
  std::vector<std::uint64_t> live_key_hashes;
  std::uint64_t live_keys_version = 0;
};

/// @brief Keeps a copy of one of the store's tables.
///
/// Reads it whole once. One daemon of a data centre then follows the changes,
/// and the others take its copy: each call to the store costs money, and what
/// one has read the others need not ask for. Versions only go forward: a read
/// that lags behind what is known is dropped, so that a daemon never goes back
/// to an older configuration.
class StoreFollower {
 public:
  /// @param rows all rows as they are now
  using OnRows = std::function<void(const std::vector<StoredRow>& rows)>;
  using OnChange = std::function<void(const StoredRow& row)>;

  struct Listener {
    OnRows on_rows;      ///< the table was read whole
    OnChange on_change;  ///< one row changed
    std::function<void(bool reachable)> on_reachable;  ///< lost or regained
    std::function<void()>
        on_call_failed;  ///< a call failed after one that did not
  };

  /// @param change_in_force time within which a change has to be known here
  StoreFollower(EventLoop& loop,
                Store& store,
                StoreTable table,
                Duration max_propagation_time,
                Listener listener);
  ~StoreFollower();

  void Start();
  /// @brief Whether this daemon is to follow the table's changes.
  void SetFollowing(bool following);
  /// @brief What a peer has read; taken if it is newer.
  void MergePeerCopy(const StoreChanges& changes);
  /// @brief What a peer does not know yet, the oldest first, as much of it as
  /// fits into one message. What is left it asks for when it has taken this.
  /// @param known newest change that the peer has
  StoreChanges ChangesAfter(std::uint64_t known) const;

  bool is_loaded() const { return is_loaded_; }
  bool reachable() const { return reachable_; }
  StoreContact contact() const;
  /// @brief Time since the store last answered.
  Duration Age(TimePoint now) const { return now - answered_at_; }
  /// @brief Version that this copy is up to.
  std::uint64_t version() const { return version_; }
  /// @brief Version of the newest change, deletions too.
  std::uint64_t newest_change() const { return newest_change_; }

 private:
  void ReadTable();
  void FollowChanges();
  void OnTable(const StoreAnswer& answer);
  void OnChanges(const StoreAnswer& answer);
  void ReplaceTable(const std::vector<StoredRow>& rows, std::uint64_t version);
  /// Rows and deletions, the oldest first.
  std::vector<const StoredRow*> NewerThan(std::uint64_t known) const;
  void RemoveUnlisted(const StoreChanges& changes);
  void Apply(const StoredRow& row);
  void SendNextCall();
  void ScheduleCall(Duration delay);
  void AddTombstone(const StoredRow& row);
  void OnCallSucceeded();
  void OnCallFailed(const std::string& detail);

  EventLoop& loop_;
  Store& store_;
  StoreTable table_;
  Duration long_poll_timeout_;  ///< of a call without news
  Listener listener_;
  std::map<std::string, StoredRow, std::less<>> rows_;
  /// Deleted rows, so that peers can be told of them.
  std::map<std::string, StoredRow, std::less<>> tombstones_;
  std::uint64_t tombstones_since_ = 0;  ///< older deletions are forgotten
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  bool following_ = false;
  bool call_pending_ = false;
  bool is_loaded_ = false;
  bool reachable_ = false;
  std::uint32_t failures_ = 0;
  TimePoint answered_at_{};
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
