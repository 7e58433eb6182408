#include <algorithm>

#include "gentianroute/gateway/detail/membership_times.h"
#include "gentianroute/gateway/membership.h"

// Whom a daemon tells what, and how often.

namespace gentianroute::gateway {
namespace {

using detail::kHeirPeriod;
using detail::kLongestRound;
using detail::kRoundsToEveryone;

/// How a daemon's beats to one audience are spaced: so many datagrams a second
/// to all of it together, so that the cost of a daemon stays what it is however
/// many there are.
struct BeatRate {
  std::int64_t beats_per_second = 0;
  Duration shortest_period{};
};

/// By nearness. Bytes between regions are billed by volume, and what a beat
/// tells there is 20 ms old on arrival in any case.
constexpr std::array<BeatRate, 3> kRates = {{
    {90, std::chrono::milliseconds(100)},
    {30, std::chrono::milliseconds(100)},
    {20, std::chrono::milliseconds(300)},
}};
/// A daemon that schedules nothing and knows of no request that crashes servers
/// has little to tell another region: what it has at servers there.
constexpr std::int64_t kQuietPeriods = 3;
/// The daemons of a data centre know each other so long after a start of all.
/// Before, each would take itself for the one that schedules.
constexpr Duration kSettled = std::chrono::milliseconds(400);
/// Heirs of a pool. One may be lost together with the scheduler.
constexpr std::size_t kHeirs = 2;
/// Whom a rumour reaches at once, of the own data centre and of the others.
/// Each who hears it tells as many: of a thousand, less than one waits for a
/// beat.
constexpr std::size_t kRumourNear = 8;
constexpr std::size_t kRumourElsewhere = 2;
/// Among few daemons everyone hears the news at once, and is linked to as soon
/// as it is heard.
constexpr std::size_t kFewPeers = 16;
/// Load that was told longer ago belongs to requests that have ended.
constexpr Duration kLoadIsOld = std::chrono::seconds(2);
/// Stands for a pool that each data centre has: so one daemon of it is known
/// elsewhere also where there are no stage services, and the store's news can
/// be had from there.
constexpr std::string_view kNoService;

}  // namespace

Duration Membership::PeriodOf(Audience audience, bool quiet) const {
  if (audience == Audience::kHeirs) {
    return kHeirPeriod;
  }
  const auto index = static_cast<std::size_t>(audience);
  const BeatRate& rate = kRates[index];
  const Duration period = std::max(
      rate.shortest_period, Duration(std::chrono::seconds(1)) * counts_[index] /
                                rate.beats_per_second);
  const bool seldom = audience == Audience::kElsewhere && quiet;
  return seldom ? period * kQuietPeriods : period;
}

Membership::Audience Membership::AudienceOf(const Peer& peer) const {
  return static_cast<Audience>(peer.nearness);
}

bool Membership::IsHeir(const Peer& peer) const {
  return heirs_.contains(peer.state.name);
}

Duration Membership::PeriodTo(const Peer& peer) const {
  if (IsHeir(peer)) {
    return std::min(kHeirPeriod, PeriodOf(AudienceOf(peer), false));
  }
  const bool is_regular =
      peer.nearness == Nearness::kDataCentre || speaks_ || TellsLoadTo(peer);
  // Told as if this daemon were quiet: it may become so before the next beat.
  return is_regular ? PeriodOf(AudienceOf(peer), true) : Duration{0};
}

bool Membership::IsToldOf(const Peer& peer) const {
  return peer.nearness == Nearness::kDataCentre || !IsQuiet() ||
         TellsLoadTo(peer);
}

bool Membership::TellsLoadTo(const Peer& peer) const {
  return PeriodOf(AudienceOf(peer), IsQuiet()) <= kLoadIsOld;
}

bool Membership::IsQuiet() const {
  return own_.pools.empty() && !own_.has_quarantined && !speaks_;
}

bool Membership::SpeaksForDataCentre(TimePoint now) const {
  if (now - started_ < kSettled || own_.leaving) {
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
  Duration wait = rounds_to_everyone_ > 0 ? kHeirPeriod : kLongestRound;
  for (const TimePoint due : due_) {
    wait = std::min(wait, std::max(Duration{0}, due - now));
  }
  return wait;
}

void Membership::FindHeirs() {
  if (std::exchange(heirs_known_, true)) {
    return;
  }
  heirs_.clear();
  for (const PoolKey& pool : own_.pools) {
    for (const std::string& name : Ranked(pool, 1 + kHeirs)) {
      if (!IsSelf(name)) {
        heirs_.insert(name);
      }
    }
  }
}

template <typename Predicate>
Membership::Targets Membership::Where(Predicate holds) const {
  Targets targets;
  for (const auto& [name, peer] : peers_) {
    if (holds(*peer)) {
      targets.push_back(peer.get());
    }
  }
  return targets;
}

Membership::Targets Membership::BeatTargets(TimePoint now) {
  const bool speaks = SpeaksForDataCentre(now);
  if (std::exchange(speaks_, speaks) != speaks) {
    rounds_to_everyone_ = kRoundsToEveryone;
  }
  // Former heirs have to learn that they will hear less often.
  const auto former = heirs_;
  FindHeirs();
  const bool to_everyone = rounds_to_everyone_ > 0;
  std::array<bool, kAudiences> is_due{};
  for (std::size_t i = 0; i < kAudiences; ++i) {
    is_due[i] = to_everyone || now >= due_[i];
    if (is_due[i]) {
      due_[i] = now + PeriodOf(static_cast<Audience>(i), IsQuiet());
    }
  }
  if (to_everyone) {
    --rounds_to_everyone_;
    return Everyone();
  }
  const bool heirs_due = is_due[static_cast<std::size_t>(Audience::kHeirs)];
  return Where([&](const Peer& peer) {
    const bool heir = IsHeir(peer);
    const bool round =
        is_due[static_cast<std::size_t>(AudienceOf(peer))] && IsToldOf(peer);
    return round || (heir && heirs_due) ||
           heir != former.contains(peer.state.name);
  });
}

void Membership::AddSome(Targets& targets, Targets from, std::size_t most) {
  std::shuffle(from.begin(), from.end(), random_);
  from.resize(std::min(from.size(), most));
  targets.insert(targets.end(), from.begin(), from.end());
}

bool Membership::IsSmall() const {
  return peers_.size() <= kFewPeers;
}

Membership::Targets Membership::RumourTargets() {
  if (IsSmall()) {
    return Everyone();
  }
  Targets targets;
  AddSome(targets, DataCentre(), kRumourNear);
  AddSome(targets, Where([](const Peer& peer) {
            return peer.alive && peer.nearness != Nearness::kDataCentre;
          }),
          kRumourElsewhere);
  return targets;
}

Membership::Targets Membership::DataCentre() const {
  return Where(
      [](const Peer& peer) { return peer.nearness == Nearness::kDataCentre; });
}

Membership::Targets Membership::Everyone() const {
  return Where([](const Peer& /*peer*/) { return true; });
}

}  // namespace gentianroute::gateway
