#include "gentianroute/entry/peer_revisions.h"

#include <algorithm>
#include <utility>

namespace gentianroute {

using nlohmann::json;

void PeerRevisions::AddListed(std::string_view peer,
                              std::string_view data_centre) {
  Peer& known = peers_[std::string(peer)];
  known.data_centre = data_centre;
  known.listed = true;
}

void PeerRevisions::RemoveUnlisted() {
  std::erase_if(peers_, [](const auto& entry) { return !entry.second.listed; });
  for (auto& [name, peer] : peers_) {
    peer.listed = false;
  }
}

void PeerRevisions::OnRevision(TimePoint now,
                               std::string_view peer,
                               std::uint64_t revision) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  // Digests may arrive out of order, but a daemon's revision never decreases.
  found->second.revision = std::max(found->second.revision, revision);
  found->second.heard_at = now;
}

json PeerRevisions::ToJson(TimePoint now) const {
  json list = json::array();
  for (const auto& [name, peer] : peers_) {
    const TimePoint last = peer.heard_at.value_or(started_);
    json heard(nullptr);
    if (peer.heard_at.has_value()) {
      heard = Milliseconds(now - *peer.heard_at);
    }
    list.push_back({{"name", name},
                    {"data_centre", peer.data_centre},
                    {"revision", peer.revision},
                    {"heard_ms_ago", std::move(heard)},
                    {"reachable", now - last <= kSilenceTimeout}});
  }
  return list;
}

}  // namespace gentianroute
