#include "gentianroute/decision/fair_queue.h"

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

/// Maximum delay until a rank that decreased, by a correction or a peer's
/// report, takes effect.
constexpr Duration kRankUpdateInterval = std::chrono::seconds(1);

/// Moves a queue to the position of its new rank.
template <typename Ranking, typename Queue>
void UpdateRank(Ranking& ranking, Queue& queue, double rank) {
  auto node = ranking.extract(queue.position);
  node.value().rank = rank;
  queue.position = ranking.insert(std::move(node)).position;
}

/// Calls `use` for each queue in order of current ranks, until it returns true.
template <typename Ranking, typename Rank, typename Use>
void ForEachRanked(Ranking& ranking, const Rank& rank, const Use& use) {
  auto position = ranking.begin();
  while (position != ranking.end()) {
    auto* queue = position->queue;
    const auto next = std::next(position);
    const double present = rank(*queue);
    const bool grew = present > position->rank;
    if (present != position->rank) {
      UpdateRank(ranking, *queue, present);
    }
    if (grew && next != ranking.end() && *next < *queue->position) {
      position = next;  // visited again at its new position
      continue;
    }
    if (use(*queue)) {
      return;
    }
    position = next;
  }
}

}  // namespace

double FairQueue::RankOf(const OrganisationQueue& organisation) const {
  if (order_ == QueueOrder::kArrival) {
    return 0;
  }
  return ledger_.OrganisationRank(organisation.name) / organisation.weight;
}

double FairQueue::RankOf(const OrganisationQueue& organisation,
                         const SubscriberQueue& subscriber) const {
  if (order_ == QueueOrder::kArrival) {
    return 0;
  }
  return ledger_.SubscriberRank(organisation.name, subscriber.name);
}

FairQueue::OrganisationQueue& FairQueue::FindOrAddOrganisation(
    const Waiter& waiter,
    const std::string& name) {
  const auto [found, is_new] = organisations_.try_emplace(name);
  OrganisationQueue& organisation = found->second;
  organisation.weight = std::max(waiter.weight, 1e-9);
  if (is_new) {
    organisation.name = name;
    organisation.position =
        ranking_.insert({RankOf(organisation), next_sequence_++, &organisation})
            .first;
  } else {
    UpdateRank(ranking_, organisation, RankOf(organisation));
  }
  return organisation;
}

FairQueue::SubscriberQueue& FairQueue::FindOrAddSubscriber(
    OrganisationQueue& organisation,
    const std::string& name) {
  const auto [found, is_new] = organisation.subscribers.try_emplace(name);
  SubscriberQueue& subscriber = found->second;
  if (is_new) {
    subscriber.name = name;
    subscriber.position = organisation.ranking
                              .insert({RankOf(organisation, subscriber),
                                       next_sequence_++, &subscriber})
                              .first;
  } else {
    UpdateRank(organisation.ranking, subscriber,
               RankOf(organisation, subscriber));
  }
  return subscriber;
}

void FairQueue::Push(Waiter waiter) {
  SubscriberName who;
  if (order_ == QueueOrder::kFair) {
    who = {waiter.organisation, waiter.subscriber};
  }
  waiting_cost_ += waiter.cost;
  OrganisationQueue& organisation =
      FindOrAddOrganisation(waiter, who.organisation);
  SubscriberQueue& subscriber =
      FindOrAddSubscriber(organisation, who.subscriber);
  subscriber_of_request_[waiter.request] = std::move(who);
  subscriber.waiters.push_back(std::move(waiter));
}

void FairQueue::UpdateRanksIfDue(TimePoint now) {
  const bool same_epoch = ranks_epoch_ == ledger_.epoch();
  if (same_epoch && now - ranks_updated_at_ < kRankUpdateInterval) {
    return;
  }
  ranks_epoch_ = ledger_.epoch();
  ranks_updated_at_ = now;
  for (auto& [name, organisation] : organisations_) {
    UpdateRank(ranking_, organisation, RankOf(organisation));
    UpdateRanks(organisation);
  }
}

void FairQueue::UpdateRanks(OrganisationQueue& organisation) {
  for (auto& [name, subscriber] : organisation.subscribers) {
    UpdateRank(organisation.ranking, subscriber,
               RankOf(organisation, subscriber));
  }
}

std::optional<FairQueue::Waiter> FairQueue::Pop(TimePoint now,
                                                const Predicate& can_start,
                                                std::size_t max_checked,
                                                const Predicate& skip) {
  UpdateRanksIfDue(now);
  std::size_t checks_left = max_checked;
  FoundWaiter found;
  const auto rank = [this](const OrganisationQueue& organisation) {
    return RankOf(organisation);
  };
  ForEachRanked(ranking_, rank, [&](OrganisationQueue& organisation) {
    found = FindWaiter(organisation, can_start, skip, checks_left);
    return found.has_value() || checks_left == 0;
  });
  if (!found.has_value()) {
    return std::nullopt;
  }
  Waiter taken = RemoveWaiter(*found);
  ledger_.Charge(now, taken.organisation, taken.subscriber, taken.cost);
  return taken;
}

FairQueue::FoundWaiter FairQueue::FindWaiter(OrganisationQueue& organisation,
                                             const Predicate& can_start,
                                             const Predicate& skip,
                                             std::size_t& checks_left) {
  FoundWaiter found;
  const auto rank = [&](const SubscriberQueue& subscriber) {
    return RankOf(organisation, subscriber);
  };
  ForEachRanked(organisation.ranking, rank, [&](SubscriberQueue& subscriber) {
    auto waiter = subscriber.waiters.begin();
    for (; waiter != subscriber.waiters.end() && checks_left > 0; ++waiter) {
      if (skip && skip(*waiter)) {
        continue;
      }
      --checks_left;
      if (!can_start || can_start(*waiter)) {
        found = waiter;
        return true;
      }
    }
    return checks_left == 0;
  });
  return found;
}

const FairQueue::Waiter* FairQueue::LowestPriority(TimePoint now) {
  UpdateRanksIfDue(now);
  if (ranking_.empty()) {
    return nullptr;
  }
  const OrganisationQueue& organisation = *ranking_.rbegin()->queue;
  return &organisation.ranking.rbegin()->queue->waiters.back();
}

bool FairQueue::WouldBeLowestPriority(TimePoint now, const Waiter& newcomer) {
  const Waiter* lowest = LowestPriority(now);
  if (lowest == nullptr || order_ == QueueOrder::kArrival) {
    return true;
  }
  if (newcomer.organisation != lowest->organisation) {
    return ledger_.OrganisationRank(newcomer.organisation) / newcomer.weight >=
           ledger_.OrganisationRank(lowest->organisation) / lowest->weight;
  }
  return ledger_.SubscriberRank(newcomer.organisation, newcomer.subscriber) >=
         ledger_.SubscriberRank(lowest->organisation, lowest->subscriber);
}

bool FairQueue::Remove(RequestId request) {
  const auto found = subscriber_of_request_.find(request);
  if (found == subscriber_of_request_.end()) {
    return false;
  }
  const SubscriberName& who = found->second;
  std::list<Waiter>& waiters = organisations_.at(who.organisation)
                                   .subscribers.at(who.subscriber)
                                   .waiters;
  RemoveWaiter(std::ranges::find(waiters, request, &Waiter::request));
  return true;
}

FairQueue::Waiter FairQueue::RemoveWaiter(std::list<Waiter>::iterator waiter) {
  Waiter taken = std::move(*waiter);
  waiting_cost_ -= taken.cost;
  const auto where = subscriber_of_request_.find(taken.request);
  const auto organisation = organisations_.find(where->second.organisation);
  const auto subscriber =
      organisation->second.subscribers.find(where->second.subscriber);
  subscriber->second.waiters.erase(waiter);
  subscriber_of_request_.erase(where);
  if (subscriber->second.waiters.empty()) {
    organisation->second.ranking.erase(subscriber->second.position);
    organisation->second.subscribers.erase(subscriber);
  }
  if (organisation->second.subscribers.empty()) {
    ranking_.erase(organisation->second.position);
    organisations_.erase(organisation);
  }
  return taken;
}

}  // namespace gentianroute
