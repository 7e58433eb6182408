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

/// @brief The revision that each peer last reported, for operators who wait
/// until a change is in force everywhere.
class PeerRevisions {
 public:
  /// A peer that was silent for longer counts as out of reach.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(10);

  /// @param started when this daemon began to listen
  explicit PeerRevisions(TimePoint started) : started_(started) {}

  /// @brief A peer that the host list names.
  void AddListed(std::string_view peer, std::string_view data_centre);
  /// @brief Forgets peers that Know() has not named since the last call.
  void RemoveUnlisted();
  /// @brief A peer told its revision; passed over if the list has not named it.
  void OnRevision(TimePoint now, std::string_view peer, std::uint64_t revision);

  /// @brief One object a peer: name, data_centre, revision, heard_ms_ago (null:
  /// never) and reachable.
  nlohmann::json ToJson(TimePoint now) const;

 private:
  struct Peer {
    std::string data_centre;
    std::uint64_t revision = 0;
    std::optional<TimePoint> heard_at;
    bool listed = true;
  };

  TimePoint started_;
  std::map<std::string, Peer, std::less<>> peers_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PEER_REVISIONS_H_
