#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/membership.h"

// Choice of the daemons that keep and know the origins of streams.

namespace gentianroute::gateway {
namespace {

/// Keepers in the own data centre. One of them may fail together with the
/// daemon that began the streams.
constexpr std::size_t kNeighbours = 2;
/// Older heartbeats say nothing of the present rows of the store. Those within
/// a data centre come at least this often.
constexpr Duration kMaxHeartbeatAge = std::chrono::seconds(2);

}  // namespace

Membership::Targets Membership::StreamOriginKeepers() const {
  using Ranked = std::pair<std::uint64_t, const Peer*>;
  std::vector<Ranked> neighbours;
  Ranked elsewhere;
  for (const auto& [name, peer] : peers_) {
    if (!peer->alive || peer->state.leaving) {
      continue;
    }
    const Ranked ranked(RendezvousWeight(own_.name, name), peer.get());
    if (peer->distance == Distance::kSameDataCentre) {
      neighbours.push_back(ranked);
    } else {
      elsewhere = std::max(elsewhere, ranked);
    }
  }
  const std::size_t count = std::min(kNeighbours, neighbours.size());
  std::partial_sort(neighbours.begin(),
                    neighbours.begin() + static_cast<std::ptrdiff_t>(count),
                    neighbours.end(), std::greater<>());
  Targets keepers;
  for (std::size_t i = 0; i < count; ++i) {
    keepers.push_back(neighbours[i].second);
  }
  if (elsewhere.second != nullptr) {
    keepers.push_back(elsewhere.second);
  }
  return keepers;
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

Membership::Targets Membership::StoreReaders(TimePoint now) const {
  Targets readers;
  for (const auto& [name, peer] : peers_) {
    const bool is_recent = now < peer->heard_at + kMaxHeartbeatAge;
    if (peer->alive && is_recent &&
        peer->state.store != StoreContact::kUnreachable) {
      readers.push_back(peer.get());
    }
  }
  std::ranges::stable_sort(readers, {}, [](const Peer* peer) {
    const bool follows = peer->state.store == StoreContact::kReachable;
    return std::pair(!follows, peer->distance);
  });
  return readers;
}

bool Membership::HearsFromStore(TimePoint now) const {
  return std::ranges::any_of(peers_, [now](const auto& item) {
    const Peer& peer = *item.second;
    return now < peer.heard_at + kMaxHeartbeatAge &&
           peer.state.store == StoreContact::kReachable;
  });
}

bool Membership::HasNewestServers(TimePoint now,
                                  std::uint64_t servers_version) const {
  const bool is_behind = std::ranges::any_of(peers_, [&](const auto& item) {
    const Peer& peer = *item.second;
    return now < peer.heard_at + kMaxHeartbeatAge &&
           peer.state.versions.servers > servers_version;
  });
  return !is_behind && HearsFromStore(now);
}

std::size_t Membership::DataCentreRank() const {
  const auto weight = [](std::string_view data_centre) {
    return RendezvousWeight("version-records", data_centre);
  };
  const std::uint64_t own = weight(own_.data_centre);
  return static_cast<std::size_t>(
      std::ranges::count_if(regions_, [&](const auto& data_centre) {
        return weight(data_centre.first) > own;
      }));
}

bool Membership::HasUnguardedNeighbour() const {
  return std::ranges::any_of(peers_, [](const auto& item) {
    const Peer& peer = *item.second;
    const bool has_told = peer.heard_at != TimePoint{};
    return peer.alive && has_told && !peer.state.records_versions &&
           peer.distance == Distance::kSameDataCentre;
  });
}

}  // namespace gentianroute::gateway
