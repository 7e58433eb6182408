#include <algorithm>

#include "gentianroute/gateway/detail/membership_times.h"
#include "gentianroute/gateway/membership.h"

// Selection of heartbeat recipients and intervals.

namespace gentianroute::gateway {
namespace {

using detail::kBroadcastRounds;
using detail::kMaxRoundInterval;
using detail::kStandbyInterval;

/// Rate limit for the heartbeats to one class of recipients. It bounds the
/// datagrams per second to the whole class, so that the cost for a daemon does
/// not depend on the fleet size.
struct HeartbeatRate {
  std::int64_t heartbeats_per_second = 0;
  Duration min_interval{};
};

/// Indexed by Distance. Traffic between regions is billed by volume, and load
/// figures are about 20 ms old there on arrival anyway.
constexpr std::array<HeartbeatRate, 3> kHeartbeatRates = {{
    {90, std::chrono::milliseconds(100)},
    {30, std::chrono::milliseconds(100)},
    {20, std::chrono::milliseconds(300)},
}};
/// An idle daemon, which schedules no pool and reports no quarantine,
/// only has its server load to report to other regions. Its interval there is
/// longer by this factor.
constexpr std::int64_t kIdleIntervalFactor = 3;
/// Time in which the daemons of a data centre discover each other when all
/// start together. Before it has passed, each daemon would consider itself the
/// scheduler.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(400);
/// Standbys for each pool. One of them may fail together with the scheduler.
constexpr std::size_t kStandbyCount = 2;
/// Gossip targets in the own data centre and elsewhere. Each recipient forwards
/// to as many, so that of a thousand daemons less than one on average has to
/// wait for a regular heartbeat.
constexpr std::size_t kGossipFanoutDataCentre = 8;
constexpr std::size_t kGossipFanoutElsewhere = 2;
/// Daemons of a data centre that forward an update to other data centres, on
/// average. These usually have it from the store already, so that the number of
/// such messages must not grow with the fleet.
constexpr double kForwardersElsewhere = 4;
/// Up to this number of peers each update goes to all of them, and a connection
/// to each is opened at its first heartbeat.
constexpr std::int64_t kSmallFleetPeers = 16;
/// Load figures older than this belong to requests that have ended.
constexpr Duration kMaxLoadAge = std::chrono::seconds(2);
/// Name of a placeholder service that every data centre has. Its scheduler
/// makes each data centre known to the others even without stage services, so
/// that they can get newer rows of the store from there.
constexpr std::string_view kNoService;

}  // namespace

Duration Membership::IntervalOf(RecipientClass recipients, bool idle) const {
  if (recipients == RecipientClass::kStandbys) {
    return kStandbyInterval;
  }
  const auto index = static_cast<std::size_t>(recipients);
  const HeartbeatRate& rate = kHeartbeatRates[index];
  const Duration interval =
      std::max(rate.min_interval, Duration(std::chrono::seconds(1)) *
                                      CountAt(static_cast<Distance>(index)) /
                                      rate.heartbeats_per_second);
  const bool is_reduced = recipients == RecipientClass::kOtherRegion && idle;
  return is_reduced ? interval * kIdleIntervalFactor : interval;
}

Membership::RecipientClass Membership::RecipientClassOf(
    const Peer& peer) const {
  return static_cast<RecipientClass>(peer.distance);
}

bool Membership::IsStandby(const Peer& peer) const {
  return standbys_.contains(peer.state.name);
}

Duration Membership::HeartbeatIntervalTo(const Peer& peer) const {
  if (IsStandby(peer)) {
    return std::min(kStandbyInterval,
                    IntervalOf(RecipientClassOf(peer), false));
  }
  const bool is_regular = peer.distance == Distance::kSameDataCentre ||
                          represents_data_centre_ || SendsLoadTo(peer);
  // Uses the idle interval, since this daemon may become idle before the next
  // heartbeat.
  return is_regular ? IntervalOf(RecipientClassOf(peer), true) : Duration{0};
}

bool Membership::SendsHeartbeatsTo(const Peer& peer) const {
  return peer.distance == Distance::kSameDataCentre || !IsIdle() ||
         SendsLoadTo(peer);
}

bool Membership::SendsLoadTo(const Peer& peer) const {
  return IntervalOf(RecipientClassOf(peer), IsIdle()) <= kMaxLoadAge;
}

bool Membership::IsIdle() const {
  return own_.pools.empty() && !own_.has_quarantined &&
         !represents_data_centre_;
}

bool Membership::RepresentsDataCentre(TimePoint now) const {
  if (now - started_ < kDiscoveryTime || own_.leaving) {
    return false;
  }
  const auto is_first_for = [this](const std::string& service) {
    return IsSelf(SchedulerOf({service, own_.data_centre}));
  };
  return is_first_for(std::string(kNoService)) ||
         std::any_of(stage_services_.begin(), stage_services_.end(),
                     is_first_for);
}

Duration Membership::UntilNextRound(TimePoint now) const {
  Duration wait = broadcast_rounds_ > 0 ? kStandbyInterval : kMaxRoundInterval;
  for (const TimePoint due : next_round_at_) {
    wait = std::min(wait, std::max(Duration{0}, due - now));
  }
  return wait;
}

void Membership::UpdateStandbys() {
  if (std::exchange(standbys_valid_, true)) {
    return;
  }
  standbys_.clear();
  for (const PoolKey& pool : own_.pools) {
    for (const std::string& name : TopRanked(pool, 1 + kStandbyCount)) {
      if (!IsSelf(name)) {
        standbys_.insert(name);
      }
    }
  }
}

template <typename Predicate>
Membership::Targets Membership::SelectPeers(Predicate predicate) const {
  Targets targets;
  for (const auto& [name, peer] : peers_) {
    if (predicate(*peer)) {
      targets.push_back(peer.get());
    }
  }
  return targets;
}

Membership::Targets Membership::HeartbeatTargets(TimePoint now) {
  const bool represents = RepresentsDataCentre(now);
  if (std::exchange(represents_data_centre_, represents) != represents) {
    broadcast_rounds_ = kBroadcastRounds;
  }
  // Former standbys have to learn their new, longer interval.
  const auto former = standbys_;
  UpdateStandbys();
  const bool is_broadcast = broadcast_rounds_ > 0;
  std::array<bool, kRecipientClasses> is_due{};
  for (std::size_t i = 0; i < kRecipientClasses; ++i) {
    is_due[i] = is_broadcast || now >= next_round_at_[i];
    if (is_due[i]) {
      next_round_at_[i] =
          now + IntervalOf(static_cast<RecipientClass>(i), IsIdle());
    }
  }
  if (is_broadcast) {
    --broadcast_rounds_;
    return AllPeers();
  }
  const bool standbys_due =
      is_due[static_cast<std::size_t>(RecipientClass::kStandbys)];
  return SelectPeers([&](const Peer& peer) {
    const bool is_standby = IsStandby(peer);
    const bool round =
        is_due[static_cast<std::size_t>(RecipientClassOf(peer))] &&
        SendsHeartbeatsTo(peer);
    return round || (is_standby && standbys_due) ||
           is_standby != former.contains(peer.state.name);
  });
}

void Membership::AddRandom(Targets& targets,
                           Targets from,
                           std::size_t max_count) {
  std::shuffle(from.begin(), from.end(), random_);
  from.resize(std::min(from.size(), max_count));
  targets.insert(targets.end(), from.begin(), from.end());
}

const Membership::Peer* Membership::RandomNeighbour() {
  Targets chosen;
  AddRandom(chosen, SelectPeers([](const Peer& peer) {
              return peer.alive && peer.distance == Distance::kSameDataCentre;
            }),
            1);
  return chosen.empty() ? nullptr : chosen.front();
}

bool Membership::IsSmallFleet() const {
  return CountAt(Distance::kSameDataCentre) + CountAt(Distance::kSameRegion) +
             CountAt(Distance::kOtherRegion) <=
         kSmallFleetPeers;
}

Membership::Targets Membership::OneOfEachOther() {
  Targets candidates = SelectPeers([](const Peer& peer) {
    return peer.alive && peer.distance != Distance::kSameDataCentre;
  });
  std::shuffle(candidates.begin(), candidates.end(), random_);
  std::set<std::string_view> chosen;
  std::erase_if(candidates, [&chosen](const Peer* peer) {
    return !chosen.insert(peer->state.data_centre).second;
  });
  return candidates;
}

Membership::Targets Membership::GossipTargets(GossipRole role) {
  if (IsSmallFleet()) {
    return AllPeers();
  }
  Targets targets;
  if (role == GossipRole::kOrigin) {
    targets = OneOfEachOther();
  }
  AddRandom(targets, DataCentrePeers(), kGossipFanoutDataCentre);
  const auto neighbours = static_cast<double>(
      peer_counts_[static_cast<std::size_t>(Distance::kSameDataCentre)]);
  const double share = kForwardersElsewhere / (1.0 + neighbours);
  if (role == GossipRole::kOrigin ||
      !std::bernoulli_distribution(std::min(1.0, share))(random_)) {
    return targets;
  }
  AddRandom(targets, SelectPeers([](const Peer& peer) {
              return peer.alive && peer.distance != Distance::kSameDataCentre;
            }),
            kGossipFanoutElsewhere);
  return targets;
}

Membership::Targets Membership::DataCentrePeers() const {
  return SelectPeers([](const Peer& peer) {
    return peer.distance == Distance::kSameDataCentre;
  });
}

Membership::Targets Membership::AllPeers() const {
  return SelectPeers([](const Peer& /*peer*/) { return true; });
}

}  // namespace gentianroute::gateway
