#include "gentianroute/decision/fair_queue.h"

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

/// How long a rank that fell, by a correction or a peer's news, may stand.
constexpr Duration kRankAgainAfter = std::chrono::seconds(1);

/// Puts a line where its rank belongs.
template <typename Ranking, typename Line>
void Move(Ranking& ranking, Line& line, double rank) {
  auto node = ranking.extract(line.place);
  node.value().rank = rank;
  line.place = ranking.insert(std::move(node)).position;
}

/// Calls `use` for each line in the order of present ranks, until it says yes.
template <typename Ranking, typename Rank, typename Use>
void ForEachRanked(Ranking& ranking, const Rank& rank, const Use& use) {
  auto place = ranking.begin();
  while (place != ranking.end()) {
    auto* line = place->line;
    const auto next = std::next(place);
    const double present = rank(*line);
    const bool grew = present > place->rank;
    if (present != place->rank) {
      Move(ranking, *line, present);
    }
    if (grew && next != ranking.end() && *next < *line->place) {
      place = next;  // others come first now; this one again in its turn
      continue;
    }
    if (use(*line)) {
      return;
    }
    place = next;
  }
}

}  // namespace

double FairQueue::RankOf(const OrganisationLine& line) const {
  if (order_ == QueueOrder::kArrival) {
    return 0;
  }
  return ledger_.OrganisationRank(line.name) / line.weight;
}

double FairQueue::RankOf(const OrganisationLine& line,
                         const SubscriberLine& part) const {
  if (order_ == QueueOrder::kArrival) {
    return 0;
  }
  return ledger_.SubscriberRank(line.name, part.name);
}

FairQueue::OrganisationLine& FairQueue::LineOf(const Waiter& waiter,
                                               const std::string& name) {
  const auto [found, is_new] = organisations_.try_emplace(name);
  OrganisationLine& line = found->second;
  line.weight = std::max(waiter.weight, 1e-9);
  if (is_new) {
    line.name = name;
    line.place = ranking_.insert({RankOf(line), next_order_++, &line}).first;
  } else {
    Move(ranking_, line, RankOf(line));
  }
  return line;
}

FairQueue::SubscriberLine& FairQueue::PartOf(OrganisationLine& line,
                                             const std::string& name) {
  const auto [found, is_new] = line.subscribers.try_emplace(name);
  SubscriberLine& part = found->second;
  if (is_new) {
    part.name = name;
    part.place =
        line.ranking.insert({RankOf(line, part), next_order_++, &part}).first;
  } else {
    Move(line.ranking, part, RankOf(line, part));
  }
  return part;
}

void FairQueue::Push(Waiter waiter) {
  SubscriberName who;
  if (order_ == QueueOrder::kFair) {
    who = {waiter.organisation, waiter.subscriber};
  }
  waiting_cost_ += waiter.cost;
  OrganisationLine& line = LineOf(waiter, who.organisation);
  SubscriberLine& part = PartOf(line, who.subscriber);
  where_[waiter.request] = std::move(who);
  part.waiters.push_back(std::move(waiter));
}

void FairQueue::RankAgainIfDue(TimePoint now) {
  const bool same_epoch = ranked_epoch_ == ledger_.epoch();
  if (same_epoch && now - ranked_at_ < kRankAgainAfter) {
    return;
  }
  ranked_epoch_ = ledger_.epoch();
  ranked_at_ = now;
  for (auto& [name, line] : organisations_) {
    Move(ranking_, line, RankOf(line));
    RankAgain(line);
  }
}

void FairQueue::RankAgain(OrganisationLine& line) {
  for (auto& [name, part] : line.subscribers) {
    Move(line.ranking, part, RankOf(line, part));
  }
}

std::optional<FairQueue::Waiter> FairQueue::Pop(TimePoint now,
                                                const Ask& may_go,
                                                std::size_t max_asked,
                                                const Ask& held) {
  RankAgainIfDue(now);
  std::size_t asked_left = max_asked;
  Found found;
  const auto rank = [this](const OrganisationLine& line) {
    return RankOf(line);
  };
  ForEachRanked(ranking_, rank, [&](OrganisationLine& line) {
    found = FindIn(line, may_go, held, asked_left);
    return found.has_value() || asked_left == 0;
  });
  if (!found.has_value()) {
    return std::nullopt;
  }
  Waiter taken = Take(*found);
  ledger_.Charge(now, taken.organisation, taken.subscriber, taken.cost);
  return taken;
}

FairQueue::Found FairQueue::FindIn(OrganisationLine& line,
                                   const Ask& may_go,
                                   const Ask& held,
                                   std::size_t& asked_left) {
  Found found;
  const auto rank = [&](const SubscriberLine& part) {
    return RankOf(line, part);
  };
  ForEachRanked(line.ranking, rank, [&](SubscriberLine& part) {
    auto waiter = part.waiters.begin();
    for (; waiter != part.waiters.end() && asked_left > 0; ++waiter) {
      if (held && held(*waiter)) {
        continue;
      }
      --asked_left;
      if (!may_go || may_go(*waiter)) {
        found = waiter;
        return true;
      }
    }
    return asked_left == 0;
  });
  return found;
}

const FairQueue::Waiter* FairQueue::Worst(TimePoint now) {
  RankAgainIfDue(now);
  if (ranking_.empty()) {
    return nullptr;
  }
  const OrganisationLine& line = *ranking_.rbegin()->line;
  return &line.ranking.rbegin()->line->waiters.back();
}

bool FairQueue::WouldBeWorst(TimePoint now, const Waiter& newcomer) {
  const Waiter* worst = Worst(now);
  if (worst == nullptr || order_ == QueueOrder::kArrival) {
    return true;
  }
  if (newcomer.organisation != worst->organisation) {
    return ledger_.OrganisationRank(newcomer.organisation) / newcomer.weight >=
           ledger_.OrganisationRank(worst->organisation) / worst->weight;
  }
  return ledger_.SubscriberRank(newcomer.organisation, newcomer.subscriber) >=
         ledger_.SubscriberRank(worst->organisation, worst->subscriber);
}

bool FairQueue::Remove(RequestId request) {
  const auto found = where_.find(request);
  if (found == where_.end()) {
    return false;
  }
  const SubscriberName& who = found->second;
  std::list<Waiter>& waiters = organisations_.at(who.organisation)
                                   .subscribers.at(who.subscriber)
                                   .waiters;
  Take(std::ranges::find(waiters, request, &Waiter::request));
  return true;
}

FairQueue::Waiter FairQueue::Take(std::list<Waiter>::iterator waiter) {
  Waiter taken = std::move(*waiter);
  waiting_cost_ -= taken.cost;
  const auto where = where_.find(taken.request);
  const auto line = organisations_.find(where->second.organisation);
  const auto part = line->second.subscribers.find(where->second.subscriber);
  part->second.waiters.erase(waiter);
  where_.erase(where);
  if (part->second.waiters.empty()) {
    line->second.ranking.erase(part->second.place);
    line->second.subscribers.erase(part);
  }
  if (line->second.subscribers.empty()) {
    ranking_.erase(line->second.place);
    organisations_.erase(line);
  }
  return taken;
}

}  // namespace gentianroute
