#ifndef GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
#define GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/gateway/store.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief Keeps a copy of one of the store's tables.
///
/// Reads it whole once and follows its changes then. Versions only go forward:
/// a read that lags behind what is known is dropped, so that a daemon never
/// goes back to an older configuration.
class StoreFollower {
 public:
  /// @param rows all rows as they are now
  using OnRows = std::function<void(const std::vector<StoredRow>& rows)>;
  using OnChange = std::function<void(const StoredRow& row)>;

  struct Listener {
    OnRows on_rows;      ///< the table was read whole
    OnChange on_change;  ///< one row changed
    std::function<void(bool answers)> on_reachable;  ///< lost or regained
  };

  StoreFollower(EventLoop& loop,
                Store& store,
                StoreTable table,
                Listener listener);
  ~StoreFollower();

  void Start();
  /// @brief Rows that a peer has read; taken if they are newer.
  void Offer(std::vector<StoredRow> rows, std::uint64_t version);

  bool known() const { return known_; }
  bool answers() const { return answers_; }
  /// @brief Time since the store last answered.
  Duration Age(TimePoint now) const { return now - answered_at_; }
  /// @brief Version that this copy is up to.
  std::uint64_t version() const { return version_; }
  /// @brief Version of the newest row.
  std::uint64_t newest_row() const;
  std::vector<StoredRow> Copy() const;

 private:
  void ReadWhole();
  void FollowOn();
  void OnWhole(StoreAnswer answer);
  void OnChanges(StoreAnswer answer);
  void Take(std::vector<StoredRow> rows, std::uint64_t version);
  void Apply(const StoredRow& row);
  void OnAnswer();
  void OnSilence(const std::string& detail);

  EventLoop& loop_;
  Store& store_;
  StoreTable table_;
  Listener listener_;
  std::map<std::string, StoredRow, std::less<>> rows_;
  std::uint64_t version_ = 0;
  bool known_ = false;
  bool answers_ = false;
  std::uint32_t failures_ = 0;
  TimePoint answered_at_{};
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_FOLLOWER_H_
