#include "gentianroute/gateway/membership.h"

#include <algorithm>
#include <utility>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/detail/membership_times.h"
#include "gentianroute/routing/scheduler_rank.h"

namespace gentianroute::gateway {
namespace {

using detail::kBroadcastRounds;
using detail::kMaxMissedHeartbeats;
using detail::kMaxRoundInterval;
using detail::kStandbyInterval;

/// A round that is delayed by more than this means that the process was stopped
/// or the host was suspended.
constexpr Duration kSuspensionThreshold = std::chrono::milliseconds(300);
/// Time for which heartbeats report a loss; single heartbeats may be dropped.
constexpr Duration kLossReportTime = std::chrono::seconds(3);

/// Daemons of a data centre that may schedule its pools.
constexpr std::size_t kMaxSchedulers = 16;

}  // namespace

std::vector<ListedDaemon> ListRows(std::span<const DaemonState> rows) {
  std::vector<ListedDaemon> listed;
  listed.reserve(rows.size());
  for (const DaemonState& row : rows) {
    listed.push_back({row});
  }
  std::stable_sort(listed.begin(), listed.end(),
                   [](const ListedDaemon& a, const ListedDaemon& b) {
                     return a.state.processor_share > b.state.processor_share;
                   });
  for (std::size_t i = kMaxSchedulers; i < listed.size(); ++i) {
    listed[i].may_be_alive = false;
  }
  return listed;
}

Membership::Membership(TimePoint now,
                       DaemonState own,
                       std::map<std::string, std::string, std::less<>> regions,
                       std::uint64_t seed)
    : own_(std::move(own)),
      regions_(std::move(regions)),
      random_(seed),
      started_(now) {
  for (const auto& [data_centre, region] : regions_) {
    const bool is_other = data_centre != own_.data_centre;
    const auto index = static_cast<std::size_t>(DistanceTo(data_centre));
    data_centre_counts_[index] += is_other ? 1 : 0;
  }
}

std::int64_t Membership::CountAt(Distance distance) const {
  const auto index = static_cast<std::size_t>(distance);
  const auto own = static_cast<std::size_t>(Distance::kSameDataCentre);
  return std::max(peer_counts_[index],
                  data_centre_counts_[index] * (1 + peer_counts_[own]));
}

const Membership::Peer* Membership::Find(std::string_view name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : found->second.get();
}

std::string_view Membership::DataCentreOf(std::string_view daemon) const {
  if (IsSelf(daemon)) {
    return own_.data_centre;
  }
  const Peer* peer = Find(daemon);
  return peer == nullptr ? std::string_view{} : peer->state.data_centre;
}

void Membership::UpdateOwnState(std::vector<PoolKey> pools,
                                bool has_quarantined) {
  standbys_valid_ = standbys_valid_ && pools == own_.pools;
  own_.pools = std::move(pools);
  own_.has_quarantined = has_quarantined;
}

void Membership::SetStageServices(std::vector<std::string> services) {
  stage_services_ = std::move(services);
}

void Membership::Leave() {
  own_.leaving = true;
  broadcast_rounds_ = kBroadcastRounds;
  InvalidateRanks();
}

void Membership::SetReach(Reach reach) {
  own_.reach = std::move(reach);
  if (!own_.pools.empty()) {
    broadcast_rounds_ = kBroadcastRounds;
  }
  InvalidateRanks();
}

Membership::Peer& Membership::FindOrAddPeer(const std::string& name) {
  auto& peer = peers_[name];
  if (peer == nullptr) {
    peer = std::make_unique<Peer>();
    ++peer_counts_[static_cast<std::size_t>(peer->distance)];
  }
  return *peer;
}

void Membership::SetState(Peer& peer, DaemonState state) {
  --peer_counts_[static_cast<std::size_t>(peer.distance)];
  peer.distance = DistanceTo(state.data_centre);
  ++peer_counts_[static_cast<std::size_t>(peer.distance)];
  peer.state = std::move(state);
}

Membership::Targets Membership::OnListed(
    std::span<const ListedDaemon> daemons) {
  Targets greeted;
  for (const ListedDaemon& daemon : daemons) {
    if (IsSelf(daemon.state.name)) {
      continue;
    }
    Peer& peer = FindOrAddPeer(daemon.state.name);
    if (peer.alive) {
      continue;
    }
    SetState(peer, daemon.state);
    // Most daemons of other data centres never exchange heartbeats with this
    // one. Greeting them would take a square number of datagrams when all
    // daemons start together.
    if (peer.distance == Distance::kSameDataCentre || daemon.may_be_alive ||
        RepliesTo(peer)) {
      greeted.push_back(&peer);
    }
  }
  return greeted;
}

bool Membership::LacksDaemonsOf(std::string_view data_centre) const {
  const auto known =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second->state.data_centre == data_centre;
      });
  const auto own = static_cast<std::size_t>(Distance::kSameDataCentre);
  return 2 * known < 1 + peer_counts_[own];
}

std::vector<std::string> Membership::UnlistedDataCentres() const {
  std::vector<std::string> unlisted;
  for (const auto& [data_centre, region] : regions_) {
    if (data_centre != own_.data_centre && LacksDaemonsOf(data_centre)) {
      unlisted.push_back(data_centre);
    }
  }
  return unlisted;
}

bool Membership::LacksContact() const {
  if (lacks_contact_) {
    return *lacks_contact_;
  }
  std::set<std::string_view> in_contact = {own_.data_centre};
  for (const auto& [name, other] : peers_) {
    if (other->alive) {
      in_contact.insert(other->state.data_centre);
    }
  }
  lacks_contact_ = in_contact.size() < regions_.size();
  return *lacks_contact_;
}

std::vector<ListedDaemon> Membership::List() const {
  std::vector<ListedDaemon> list;
  list.reserve(peers_.size());
  for (const auto& [name, peer] : peers_) {
    list.push_back({peer->state, peer->alive});
  }
  return list;
}

Membership::Arrival Membership::OnHeartbeat(TimePoint now, DaemonState state) {
  Peer& peer = FindOrAddPeer(state.name);
  const DaemonState& before = peer.state;
  const bool restarted = before.incarnation != state.incarnation;
  // Outside of the own data centre, a peer that sends no regular heartbeats is
  // not considered alive, since its loss could not be detected.
  const bool is_monitored = state.heartbeat_interval > Duration{0} ||
                            state.data_centre == own_.data_centre;
  const bool was_alive = std::exchange(peer.alive, is_monitored);
  if (was_alive != peer.alive || restarted || before.leaving != state.leaving ||
      before.reach != state.reach ||
      before.processor_share != state.processor_share ||
      before.data_centre != state.data_centre) {
    InvalidateRanks();
  }
  lost_at_.erase(state.name);
  SetState(peer, std::move(state));
  peer.last_heartbeat = now;
  peer.heard_at = now;
  if (restarted) {
    return was_alive ? Arrival::kRestarted : Arrival::kNew;
  }
  return peer.alive && !was_alive ? Arrival::kNew : Arrival::kKnown;
}

void Membership::InvalidateRanks() {
  schedulers_.clear();
  lacks_contact_.reset();
  in_reach_.clear();
  standbys_valid_ = false;
}

bool Membership::MarkLost(Peer& peer) {
  if (!std::exchange(peer.alive, false)) {
    return false;
  }
  InvalidateRanks();
  return true;
}

bool Membership::OnUnreachable(std::string_view name) {
  const auto found = peers_.find(name);
  return found != peers_.end() && MarkLost(*found->second);
}

Membership::LossReport Membership::OnLossReport(TimePoint now,
                                                std::string_view name,
                                                std::uint64_t incarnation) {
  if (IsSelf(name)) {
    // All daemons that missed this one report it at once; one broadcast refutes
    // them all.
    const bool is_new_report = incarnation == own_.incarnation &&
                               now - last_refutation_ > kStandbyInterval;
    if (!is_new_report) {
      return LossReport::kStale;
    }
    last_refutation_ = now;
    broadcast_rounds_ = kBroadcastRounds;
    return LossReport::kAboutSelf;
  }
  const auto found = peers_.find(name);
  if (found == peers_.end()) {
    return LossReport::kStale;
  }
  Peer& peer = *found->second;
  // A heartbeat arrived here after the reporter's first missed one: the peer is
  // back.
  const bool heard_since =
      now - peer.last_heartbeat < kStandbyInterval * (kMaxMissedHeartbeats - 1);
  if (peer.state.incarnation != incarnation || heard_since) {
    return LossReport::kStale;
  }
  if (!MarkLost(peer)) {
    return LossReport::kStale;
  }
  OnLost(now, peer);
  return LossReport::kNew;
}

void Membership::OnLost(TimePoint now, const Peer& peer) {
  if (peer.distance != Distance::kSameDataCentre) {
    return;
  }
  lost_at_[peer.state.name] = now;
  if (TakesOverFrom(RecentlyLost(now))) {
    // Daemons in other data centres get heartbeats of a scheduler too rarely to
    // detect its loss soon.
    broadcast_rounds_ = kBroadcastRounds;
  }
}

bool Membership::WasSuspended(TimePoint now) {
  const TimePoint before = std::exchange(last_check_, now);
  return now - before > kMaxRoundInterval + kSuspensionThreshold;
}

std::vector<Membership::LostPeer> Membership::DetectLostPeers(TimePoint now) {
  std::vector<LostPeer> lost;
  if (WasSuspended(now)) {
    // The socket still holds unread heartbeats of the peers. Unless the
    // timeouts start again, all peers would be considered lost.
    for (const auto& [name, peer] : peers_) {
      peer->last_heartbeat = now;
    }
    return lost;
  }
  for (const auto& [name, peer] : peers_) {
    const Duration interval = peer->state.heartbeat_interval;
    if (!peer->alive || interval == Duration{0} ||
        now - peer->last_heartbeat <= interval * kMaxMissedHeartbeats) {
      continue;
    }
    MarkLost(*peer);
    lost.push_back({name, now - peer->last_heartbeat});
    OnLost(now, *peer);
  }
  return lost;
}

bool Membership::TakesOverFrom(const Targets& lost) const {
  return std::any_of(lost.begin(), lost.end(), [this](const Peer* peer) {
    const std::vector<PoolKey>& pools = peer->state.pools;
    return std::any_of(pools.begin(), pools.end(), [this](const PoolKey& pool) {
      return IsSelf(SchedulerOf(pool));
    });
  });
}

Membership::Targets Membership::RecentlyLost(TimePoint now) const {
  Targets lost;
  for (const auto& [name, at] : lost_at_) {
    if (now - at < kLossReportTime) {
      lost.push_back(Find(name));
    }
  }
  return lost;
}

Membership::Distance Membership::DistanceTo(
    std::string_view data_centre) const {
  if (data_centre == own_.data_centre) {
    return Distance::kSameDataCentre;
  }
  const auto own = regions_.find(own_.data_centre);
  const auto other = regions_.find(data_centre);
  const bool same_region = own != regions_.end() && other != regions_.end() &&
                           own->second == other->second;
  return same_region ? Distance::kSameRegion : Distance::kOtherRegion;
}

std::vector<std::string> Membership::TopRanked(const PoolKey& pool,
                                               std::size_t max_count) const {
  const std::string key = pool.service + "/" + pool.data_centre;
  std::vector<std::pair<routing::SchedulerRank, const DaemonState*>> ranked;
  const auto add = [&](const DaemonState& state) {
    const bool is_beside_servers = state.data_centre == pool.data_centre;
    const auto rank =
        state.leaving
            ? routing::SchedulerRank{}
            : routing::SchedulerRank{state.reach.Includes(pool.service),
                                     is_beside_servers, state.processor_share,
                                     RendezvousWeight(key, state.name)};
    ranked.emplace_back(rank, &state);
  };
  add(own_);
  for (const auto& [name, peer] : peers_) {
    if (peer->alive && !peer->state.leaving) {
      add(peer->state);
    }
  }
  const std::size_t count = std::min(max_count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(),
      [](const auto& a, const auto& b) { return b.first < a.first; });
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(ranked[i].second->name);
  }
  return names;
}

const std::string& Membership::SchedulerOf(const PoolKey& pool) const {
  const auto found = schedulers_.find(pool);
  if (found != schedulers_.end()) {
    return found->second;
  }
  return schedulers_.emplace(pool, TopRanked(pool, 1).front()).first->second;
}

std::size_t Membership::StoreReaderRank() const {
  const std::uint64_t own = RendezvousWeight(kStoreReaderKey, own_.name);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second->state.data_centre == own_.data_centre &&
               RendezvousWeight(kStoreReaderKey, entry.first) > own;
      }));
}

bool Membership::IsStoreReader() const {
  const std::uint64_t own = RendezvousWeight(kStoreReaderKey, own_.name);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = *entry.second;
    return peer.alive && !peer.state.leaving &&
           peer.state.data_centre == own_.data_centre &&
           peer.state.store != StoreContact::kUnreachable &&
           RendezvousWeight(kStoreReaderKey, peer.state.name) > own;
  });
}

const Membership::Peer* Membership::StoreCopySource(
    const StoreVersions& known) const {
  const Peer* source = nullptr;
  std::pair<Distance, std::uint64_t> best;
  for (const auto& [name, peer] : peers_) {
    if (!peer->alive || !peer->state.versions.HasNewerThan(known)) {
      continue;
    }
    // Each daemon picks a different one of equally distant peers, which spreads
    // the load over all that have the newer rows.
    const std::pair rank(peer->distance, RendezvousWeight(own_.name, name));
    if (source == nullptr || rank < best) {
      source = peer.get();
      best = rank;
    }
  }
  return source;
}

std::size_t Membership::live_daemons() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [](const auto& entry) {
                   const Peer& peer = *entry.second;
                   return peer.alive ||
                          peer.distance != Distance::kSameDataCentre;
                 }));
}

}  // namespace gentianroute::gateway
