#ifndef GENTIANROUTE_ENTRY_PEER_REVISIONS_H_
#define GENTIANROUTE_ENTRY_PEER_REVISIONS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Keeps the revision that each peer last reported, for operators who
/// wait until all daemons have applied a change.
class PeerRevisions {
 public:
  /// A peer that sends no digest for longer is reported as not reachable.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(10);

  /// @param started time at which this daemon started to listen
  explicit PeerRevisions(TimePoint started) : started_(started) {}

  /// @brief Adds a peer from the host list or the seeds.
  void AddListed(std::string_view peer, std::string_view data_centre);
  /// @brief Removes the peers that were not passed to AddListed() since the
  /// last call of this function.
  void RemoveUnlisted();
  /// @brief Records a peer's revision; ignored if the peer is not listed.
  void OnRevision(TimePoint now, std::string_view peer, std::uint64_t revision);

  /// @brief Returns an array with one object per peer: name, data_centre,
  /// revision, heard_ms_ago (null if it has never sent a digest) and reachable.
  nlohmann::json ToJson(TimePoint now) const;

 private:
  struct Peer {
    std::string data_centre;
    std::uint64_t revision = 0;
    std::optional<TimePoint> heard_at;
    bool listed = true;  ///< added since the last RemoveUnlisted()
  };

  TimePoint started_;
  std::map<std::string, Peer, std::less<>> peers_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PEER_REVISIONS_H_
