#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/membership.h"

// Choice of the daemons that keep and know the origins of streams.

namespace gentianroute::gateway {
namespace {

/// One of them may fail together with the daemon that began the streams.
constexpr std::size_t kKeepersInDataCentre = 2;
constexpr std::size_t kKeepersElsewhere = 1;
/// Older heartbeats say nothing of the present rows of the store. Those within
/// a data centre come at least this often.
constexpr Duration kMaxHeartbeatAge = std::chrono::seconds(2);

}  // namespace

Membership::Targets Membership::StreamOriginKeepers() const {
  return FirstRanked(kKeepersInDataCentre, kKeepersElsewhere);
}

Membership::Targets Membership::StreamOriginSources(OriginSearch search) const {
  if (search == OriginSearch::kSample && !IsSmallFleet()) {
    return StreamOriginKeepers();
  }
  Targets sources;
  for (const auto& [name, peer] : peers_) {
    if (peer->alive) {
      sources.push_back(peer.get());
    }
  }
  return sources;
}

bool Membership::HasNewestServers(TimePoint now,
                                  std::uint64_t servers_version) const {
  bool has_heard = false;
  for (const auto& [name, peer] : peers_) {
    if (peer->last_heartbeat + kMaxHeartbeatAge <= now) {
      continue;
    }
    if (peer->state.servers_version > servers_version) {
      return false;
    }
    has_heard |= peer->state.store == StoreContact::kReachable;
  }
  return has_heard;
}

Membership::Targets Membership::FirstRanked(std::size_t in_data_centre,
                                            std::size_t elsewhere) const {
  std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
  for (const auto& [name, peer] : peers_) {
    if (peer->alive && !peer->state.leaving) {
      ranked.emplace_back(RendezvousWeight(own_.name, name), peer.get());
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  Targets first;
  for (const auto& [weight, peer] : ranked) {
    std::size_t& left = peer->distance == Distance::kSameDataCentre
                            ? in_data_centre
                            : elsewhere;
    if (left > 0) {
      --left;
      first.push_back(peer);
    }
  }
  return first;
}

}  // namespace gentianroute::gateway
