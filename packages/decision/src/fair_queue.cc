#include "gentianroute/decision/fair_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gentianroute {

void FairQueue::Push(Waiter waiter) {
  waiting_cost_ += waiter.cost;
  SubscriberName who;
  if (order_ == QueueOrder::kFair) {
    who = {waiter.organisation, waiter.subscriber};
  }
  where_[waiter.request] = who;
  OrganisationLine& line = organisations_[who.organisation];
  line.subscribers[who.subscriber].push_back(std::move(waiter));
}

std::optional<FairQueue::Waiter> FairQueue::Pop(
    TimePoint now,
    const std::function<bool(const Waiter&)>& may_go) {
  struct Candidate {
    double organisation_rank;
    double subscriber_rank;
    const std::string* organisation;
    const std::string* subscriber;
  };
  std::vector<Candidate> candidates;
  for (auto& [organisation, line] : organisations_) {
    for (auto& [subscriber, waiters] : line.subscribers) {
      candidates.push_back(
          {ledger_.OrganisationRank(organisation) / waiters.front().weight,
           ledger_.SubscriberRank(organisation, subscriber), &organisation,
           &subscriber});
    }
  }
  std::ranges::sort(
      candidates, [](const Candidate& left, const Candidate& right) {
        return std::pair(left.organisation_rank, left.subscriber_rank) <
               std::pair(right.organisation_rank, right.subscriber_rank);
      });
  for (const Candidate& candidate : candidates) {
    Line& line = organisations_[*candidate.organisation]
                     .subscribers[*candidate.subscriber];
    for (auto waiter = line.begin(); waiter != line.end(); ++waiter) {
      if (may_go && !may_go(*waiter)) {
        continue;
      }
      Waiter taken = *waiter;
      const SubscriberName who = where_.at(taken.request);
      Erase(who.organisation, who.subscriber, waiter);
      ledger_.Charge(now, taken.organisation, taken.subscriber, taken.cost);
      return taken;
    }
  }
  return std::nullopt;
}

bool FairQueue::Remove(RequestId request) {
  const auto found = where_.find(request);
  if (found == where_.end()) {
    return false;
  }
  const SubscriberName who = found->second;
  Line& line = organisations_[who.organisation].subscribers[who.subscriber];
  const auto waiter = std::ranges::find(line, request, &Waiter::request);
  Erase(who.organisation, who.subscriber, waiter);
  return true;
}

void FairQueue::Erase(const std::string& organisation,
                      const std::string& subscriber,
                      const Line::iterator& waiter) {
  waiting_cost_ -= waiter->cost;
  where_.erase(waiter->request);
  const auto line = organisations_.find(organisation);
  const auto part = line->second.subscribers.find(subscriber);
  part->second.erase(waiter);
  if (part->second.empty()) {
    line->second.subscribers.erase(part);
  }
  if (line->second.subscribers.empty()) {
    organisations_.erase(line);
  }
}

}  // namespace gentianroute
