#include "gentianroute/gateway/membership.h"

#include <algorithm>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/detail/membership_times.h"
#include "gentianroute/routing/scheduler_rank.h"

namespace gentianroute::gateway {
namespace {

using detail::kBeatsOfSilence;
using detail::kHeirPeriod;
using detail::kLongestRound;
using detail::kRoundsToEveryone;

/// A round that comes so much later than it should tells of a process that was
/// stopped or a host that froze.
constexpr Duration kStandstill = std::chrono::milliseconds(300);
/// Time in which a loss is told with each beat; some beats get lost.
constexpr Duration kLossIsTold = std::chrono::seconds(3);

}  // namespace

Membership::Membership(TimePoint now,
                       DaemonState own,
                       std::map<std::string, std::string, std::less<>> regions,
                       std::uint64_t seed)
    : own_(std::move(own)),
      regions_(std::move(regions)),
      random_(seed),
      started_(now) {}

const Membership::Peer* Membership::Find(std::string_view name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : found->second.get();
}

void Membership::SetDuties(std::vector<PoolKey> pools, bool has_quarantined) {
  heirs_known_ = heirs_known_ && pools == own_.pools;
  own_.pools = std::move(pools);
  own_.has_quarantined = has_quarantined;
}

void Membership::SetStageServices(std::vector<std::string> services) {
  stage_services_ = std::move(services);
}

void Membership::Leave() {
  own_.leaving = true;
  rounds_to_everyone_ = kRoundsToEveryone;
  OnChanged();
}

Membership::Peer& Membership::PeerNamed(const std::string& name) {
  auto& peer = peers_[name];
  if (peer == nullptr) {
    peer = std::make_unique<Peer>();
    ++counts_[static_cast<std::size_t>(peer->nearness)];
  }
  return *peer;
}

void Membership::SetState(Peer& peer, DaemonState state) {
  --counts_[static_cast<std::size_t>(peer.nearness)];
  peer.nearness = NearnessOf(state.data_centre);
  ++counts_[static_cast<std::size_t>(peer.nearness)];
  peer.state = std::move(state);
}

Membership::Targets Membership::OnRows(std::span<const DaemonState> rows) {
  Targets unheard;
  for (const DaemonState& row : rows) {
    Peer& peer = PeerNamed(row.name);
    if (!peer.alive) {
      SetState(peer, row);
      unheard.push_back(&peer);
    }
  }
  return unheard;
}

Membership::Arrival Membership::OnBeat(TimePoint now, DaemonState state) {
  Peer& peer = PeerNamed(state.name);
  const DaemonState& before = peer.state;
  const bool restarted = before.incarnation != state.incarnation;
  // One that will not be heard again can't be missed, so it is not relied on.
  const bool is_relied_on =
      state.next_beat > Duration{0} || state.data_centre == own_.data_centre;
  const bool was_alive = std::exchange(peer.alive, is_relied_on);
  if (was_alive != peer.alive || restarted || before.leaving != state.leaving ||
      before.processor_share != state.processor_share ||
      before.data_centre != state.data_centre) {
    OnChanged();
  }
  lost_at_.erase(state.name);
  SetState(peer, std::move(state));
  peer.heard = now;
  if (restarted) {
    return was_alive ? Arrival::kRestarted : Arrival::kNew;
  }
  return peer.alive && !was_alive ? Arrival::kNew : Arrival::kKnown;
}

void Membership::OnChanged() {
  schedulers_.clear();
  heirs_known_ = false;
}

bool Membership::MarkLost(Peer& peer) {
  if (!std::exchange(peer.alive, false)) {
    return false;
  }
  OnChanged();
  return true;
}

bool Membership::OnUnreachable(std::string_view name) {
  const auto found = peers_.find(name);
  return found != peers_.end() && MarkLost(*found->second);
}

Membership::Loss Membership::OnLossTold(TimePoint now,
                                        std::string_view name,
                                        std::uint64_t incarnation) {
  if (IsSelf(name)) {
    // All who missed it say so at once; one denial reaches all of them.
    const bool denies =
        incarnation == own_.incarnation && now - denied_ > kHeirPeriod;
    if (!denies) {
      return Loss::kOldNews;
    }
    denied_ = now;
    rounds_to_everyone_ = kRoundsToEveryone;
    return Loss::kOfThisDaemon;
  }
  const auto found = peers_.find(name);
  if (found == peers_.end()) {
    return Loss::kOldNews;
  }
  Peer& peer = *found->second;
  // Heard here since the teller began to miss it: it is back already.
  const bool heard_since =
      now - peer.heard < kHeirPeriod * (kBeatsOfSilence - 1);
  if (peer.state.incarnation != incarnation || heard_since) {
    return Loss::kOldNews;
  }
  if (!MarkLost(peer)) {
    return Loss::kOldNews;
  }
  OnLost(now, peer);
  return Loss::kNews;
}

void Membership::OnLost(TimePoint now, const Peer& peer) {
  if (peer.nearness != Nearness::kDataCentre) {
    return;
  }
  lost_at_[peer.state.name] = now;
  if (SucceedsOneOf(RecentlyLost(now))) {
    // Daemons elsewhere hear too seldom from a scheduler to miss it soon.
    rounds_to_everyone_ = kRoundsToEveryone;
  }
}

bool Membership::HasStoodStill(TimePoint now) {
  const TimePoint before = std::exchange(watched_, now);
  return now - before > kLongestRound + kStandstill;
}

std::vector<Membership::Lost> Membership::Watch(TimePoint now) {
  std::vector<Lost> lost;
  if (HasStoodStill(now)) {
    // The others' beats wait unread. Judged now, all would seem to be lost.
    for (const auto& [name, peer] : peers_) {
      peer->heard = now;
    }
    return lost;
  }
  for (const auto& [name, peer] : peers_) {
    const Duration promised = peer->state.next_beat;
    if (!peer->alive || promised == Duration{0} ||
        now - peer->heard <= promised * kBeatsOfSilence) {
      continue;
    }
    MarkLost(*peer);
    lost.push_back({name, now - peer->heard});
    OnLost(now, *peer);
  }
  return lost;
}

bool Membership::SucceedsOneOf(const Targets& lost) const {
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
    if (now - at < kLossIsTold) {
      lost.push_back(Find(name));
    }
  }
  return lost;
}

Membership::Nearness Membership::NearnessOf(
    std::string_view data_centre) const {
  if (data_centre == own_.data_centre) {
    return Nearness::kDataCentre;
  }
  const auto own = regions_.find(own_.data_centre);
  const auto other = regions_.find(data_centre);
  const bool same_region = own != regions_.end() && other != regions_.end() &&
                           own->second == other->second;
  return same_region ? Nearness::kRegion : Nearness::kElsewhere;
}

std::vector<std::string> Membership::Ranked(const PoolKey& pool,
                                            std::size_t most) const {
  const std::string key = pool.service + "/" + pool.data_centre;
  std::vector<std::pair<routing::SchedulerRank, const DaemonState*>> ranked;
  const auto add = [&](const DaemonState& state) {
    const bool beside = state.data_centre == pool.data_centre;
    const auto rank = state.leaving ? routing::SchedulerRank{}
                                    : routing::SchedulerRank{
                                          beside, state.processor_share,
                                          RendezvousWeight(key, state.name)};
    ranked.emplace_back(rank, &state);
  };
  add(own_);
  for (const auto& [name, peer] : peers_) {
    if (peer->alive && !peer->state.leaving) {
      add(peer->state);
    }
  }
  const std::size_t count = std::min(most, ranked.size());
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
  return schedulers_.emplace(pool, Ranked(pool, 1).front()).first->second;
}

bool Membership::IsStoreReader() const {
  constexpr std::string_view kKey = "store-reader";
  const std::uint64_t own = RendezvousWeight(kKey, own_.name);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = *entry.second;
    return peer.alive && !peer.state.leaving &&
           peer.state.data_centre == own_.data_centre &&
           peer.state.store != StoreContact::kSilent &&
           RendezvousWeight(kKey, peer.state.name) > own;
  });
}

const Membership::Peer* Membership::SourceOf(
    std::uint64_t deployment_version,
    std::uint64_t servers_version) const {
  const Peer* source = nullptr;
  std::pair<Nearness, std::uint64_t> best;
  for (const auto& [name, peer] : peers_) {
    const bool newer = peer->state.deployment_version > deployment_version ||
                       peer->state.servers_version > servers_version;
    if (!peer->alive || !newer) {
      continue;
    }
    // Of equally near ones each daemon takes another, so that all who have the
    // news hand it on, and not only the one that had it first.
    const std::pair rank(peer->nearness, RendezvousWeight(own_.name, name));
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
                   return peer.alive || peer.nearness != Nearness::kDataCentre;
                 }));
}

}  // namespace gentianroute::gateway
