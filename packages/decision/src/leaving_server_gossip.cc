#include "gentianroute/decision/leaving_server_gossip.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianroute {

bool LeavingServerGossip::Add(const LeavingServer& server) {
  const auto [place, added] = entries_.try_emplace(server);
  if (added) {
    place->second.sequence = next_sequence_++;
  }
  return added;
}

std::vector<LeavingServer> LeavingServerGossip::OnHostList(
    TimePoint now,
    std::span<const HostRecord> hosts) {
  std::set<LeavingServer> listed;
  for (const HostRecord& host : hosts) {
    listed.insert({host.name, host.incarnation});
  }
  std::vector<LeavingServer> forgotten;
  for (auto& [server, entry] : entries_) {
    if (listed.contains(server)) {
      entry.ever_listed = true;
      entry.absent_since = kNever;  // restarts the retention period
    } else if (entry.absent_since == kNever) {
      entry.absent_since = now;
    } else if (now - entry.absent_since >= options_.retention_period) {
      forgotten.push_back(server);
    }
  }
  for (const LeavingServer& server : forgotten) {
    entries_.erase(server);
  }
  return forgotten;
}

bool LeavingServerGossip::ShouldAnnounce(TimePoint now,
                                         const Entry& entry) const {
  if (entry.absent_since == kNever) {
    return true;
  }
  // An entry that was never in this daemon's list may be one that it has
  // removed and that a peer has sent again. If it were sent on, daemons that
  // remove it at different times would keep it circulating for ever.
  return entry.ever_listed &&
         now - entry.absent_since < options_.announce_period;
}

std::vector<LeavingServer> LeavingServerGossip::SelectForDigest(TimePoint now) {
  std::vector<std::pair<std::uint64_t, const LeavingServer*>> announced;
  for (const auto& [server, entry] : entries_) {
    if (ShouldAnnounce(now, entry)) {
      announced.emplace_back(entry.sequence, &server);
    }
  }
  std::ranges::sort(announced, std::greater{});
  std::vector<LeavingServer> chosen;
  const std::size_t newest =
      std::min(options_.max_per_digest / 2, announced.size());
  for (std::size_t i = 0; i < newest; ++i) {
    chosen.push_back(*announced[i].second);
  }
  const std::size_t older = announced.size() - newest;
  const std::size_t rotated = std::min(options_.max_per_digest - newest, older);
  for (std::size_t i = 0; i < rotated; ++i) {
    chosen.push_back(
        *announced[newest + (rotation_offset_ + i) % older].second);
  }
  rotation_offset_ += rotated;
  return chosen;
}

}  // namespace gentianroute
