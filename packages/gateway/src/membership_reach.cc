#include <algorithm>
#include <utility>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/membership.h"

// Choice of daemons by the backend servers that they reach.

namespace gentianroute::gateway {
namespace {

/// Whether a peer may get a request for a service that others have had before.
bool MayTake(const Membership::Peer& peer,
             std::string_view service,
             std::span<const std::string> excluded) {
  return peer.alive && peer.state.TakesWorkFor(service) &&
         std::ranges::find(excluded, peer.state.name) == excluded.end();
}

}  // namespace

bool Membership::IsAmongFirst(std::string_view key,
                              std::string_view data_centre,
                              std::string_view service,
                              std::size_t count) const {
  if (!own_.reach.Includes(service)) {
    return false;
  }
  const bool is_beside = own_.data_centre == data_centre;
  const std::uint64_t own = RendezvousWeight(key, own_.name);
  std::size_t ahead = 0;
  for (const auto& [name, peer] : peers_) {
    const bool peer_is_beside = peer->state.data_centre == data_centre;
    if (!is_beside && peer_is_beside) {
      return false;
    }
    const bool counts = !is_beside || (peer_is_beside && peer->alive &&
                                       peer->state.TakesWorkFor(service));
    ahead += counts && RendezvousWeight(key, name) > own ? 1 : 0;
  }
  return ahead < count;
}

const Membership::Peer* Membership::FirstSender(
    std::string_view key,
    std::string_view data_centre,
    std::string_view service,
    std::span<const std::string> excluded) const {
  const bool takes_part =
      own_.data_centre == data_centre && own_.TakesWorkFor(service);
  std::uint64_t most = takes_part ? RendezvousWeight(key, own_.name) : 0;
  const Peer* first = nullptr;
  for (const auto& [name, peer] : peers_) {
    if (peer->state.data_centre != data_centre ||
        !MayTake(*peer, service, excluded)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(key, name);
    if (weight > most) {
      most = weight;
      first = peer.get();
    }
  }
  return first;
}

const Membership::Peer* Membership::OneOfFirst(
    std::string_view key,
    std::string_view data_centre,
    std::string_view service,
    std::size_t count,
    std::string_view chooser,
    std::span<const std::string> excluded) const {
  std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
  for (const auto& [name, peer] : peers_) {
    if (peer->state.data_centre == data_centre &&
        MayTake(*peer, service, excluded)) {
      ranked.emplace_back(RendezvousWeight(key, name), peer.get());
    }
  }
  std::ranges::sort(ranked, std::greater{},
                    &std::pair<std::uint64_t, const Peer*>::first);
  ranked.resize(std::min(count, ranked.size()));
  const auto chosen =
      std::ranges::max_element(ranked, {}, [chooser](const auto& candidate) {
        return RendezvousWeight(chooser, candidate.second->state.name);
      });
  return chosen == ranked.end() ? nullptr : chosen->second;
}

std::size_t Membership::CountInReach(std::string_view data_centre,
                                     std::string_view service) const {
  const PoolKey pool{std::string(service), std::string(data_centre)};
  const auto found = in_reach_.find(pool);
  if (found != in_reach_.end()) {
    return found->second;
  }
  const auto counts = [&](const DaemonState& state) {
    return state.data_centre == data_centre && state.TakesWorkFor(service);
  };
  const auto peers = std::ranges::count_if(peers_, [&](const auto& entry) {
    return entry.second->alive && counts(entry.second->state);
  });
  const std::size_t count =
      static_cast<std::size_t>(peers) + (counts(own_) ? 1 : 0);
  in_reach_.emplace(pool, count);
  return count;
}

const Membership::Peer* Membership::PeerInReach(
    std::string_view key,
    std::string_view service,
    const std::function<bool(std::string_view data_centre)>& permits,
    std::span<const std::string> excluded) const {
  const Peer* nearest = nullptr;
  std::pair<Distance, std::uint64_t> best;
  for (const auto& [name, peer] : peers_) {
    if (!MayTake(*peer, service, excluded) ||
        !permits(peer->state.data_centre)) {
      continue;
    }
    const std::pair rank(peer->distance, RendezvousWeight(key, name));
    if (nearest == nullptr || rank < best) {
      nearest = peer.get();
      best = rank;
    }
  }
  return nearest;
}

}  // namespace gentianroute::gateway
