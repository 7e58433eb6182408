#ifndef GENTIANROUTE_GATEWAY_DAEMON_LIST_FETCHES_H_
#define GENTIANROUTE_GATEWAY_DAEMON_LIST_FETCHES_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/membership.h"

namespace gentianroute::gateway {

/// @brief Decides when a daemon asks a neighbour for the daemons that it knows.
/// Does no I/O; the current time is passed in.
class DaemonListFetches {
 public:
  /// @param members must outlive this object
  explicit DaemonListFetches(const Membership& members) : members_(members) {}

  /// @brief Time until a peer's list should be fetched; nullopt if it contains
  /// no new daemons.
  std::optional<Duration> UntilFetchFrom(TimePoint now,
                                         const Membership::Peer& peer) const;
  /// @brief Whether some neighbour's list should be fetched now, because there
  /// is no contact to one of the other data centres.
  bool IsContactFetchDue(TimePoint now) const;
  void OnFetch(TimePoint now);
  /// @brief Records that the daemons of a list have been added.
  /// @param known_before number of known daemons before that
  /// @return whether the neighbours should be told at once
  bool OnListed(std::size_t known_before);

 private:
  /// Lists are fetched no more often than this.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(100);

  const Membership& members_;
  TimePoint last_fetch_{};
  /// Time between fetches for lack of contact. Grows, since a data centre may
  /// be lost for long.
  Duration contact_interval_ = kMinInterval;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DAEMON_LIST_FETCHES_H_
