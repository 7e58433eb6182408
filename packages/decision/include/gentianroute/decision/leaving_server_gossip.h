#ifndef GENTIANROUTE_DECISION_LEAVING_SERVER_GOSSIP_H_
#define GENTIANROUTE_DECISION_LEAVING_SERVER_GOSSIP_H_

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

/// @brief An incarnation of a backend server that accepts no new calls.
struct LeavingServer {
  std::string server;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const LeavingServer&, const LeavingServer&) = default;
};

/// @brief Selects the leaving servers that a daemon gossips to its peers.
///
/// The host list may lag, flap or be unavailable, so peers tell each other
/// directly. An entry is kept as long as a host list may still contain the
/// incarnation, and removed when it has been absent from this daemon's list for
/// `retention_period`; otherwise entries would accumulate for ever.
class LeavingServerGossip {
 public:
  struct Options {
    std::size_t max_per_digest = 8;
    /// Time of absence from the host list during which peers are still told.
    Duration announce_period = std::chrono::minutes(5);
    /// Time of continuous absence from the host list before an entry is
    /// removed.
    Duration retention_period = std::chrono::minutes(10);
  };

  LeavingServerGossip() : LeavingServerGossip(Options{}) {}
  explicit LeavingServerGossip(Options options) : options_(options) {}

  /// @return true if it is new and should be sent to peers at once
  bool Add(const LeavingServer& server);

  /// @brief Updates the entries from a host list.
  /// @return the entries that were removed
  /// @complexity linear in hosts, logarithmic in entries
  std::vector<LeavingServer> OnHostList(TimePoint now,
                                        std::span<const HostRecord> hosts);

  /// @brief Selects entries for the next digest: the newest ones, and the
  /// others in rotation, so that a daemon that was partitioned receives all of
  /// them within a few digests.
  std::vector<LeavingServer> SelectForDigest(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t sequence = 0;  ///< in order of arrival
    bool ever_listed = false;    ///< in a host list of this daemon
    /// First host list without it since it was last listed; kNever if none.
    TimePoint absent_since = kNever;
  };
  bool ShouldAnnounce(TimePoint now, const Entry& entry) const;

  Options options_;
  std::map<LeavingServer, Entry> entries_;
  std::uint64_t next_sequence_ = 0;
  std::size_t rotation_offset_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_LEAVING_SERVER_GOSSIP_H_
