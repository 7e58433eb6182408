#include "gentianroute/decision/fair_queue.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{} + seconds(10);

struct QueueFixture {
  UsageLedger ledger;
  FairQueue queue{ledger};
  std::uint64_t next = 1;

  RequestId Push(const std::string& organisation,
                 const std::string& subscriber,
                 double weight = 1) {
    const RequestId id{next++};
    queue.Push({id, organisation, subscriber, weight, 1});
    return id;
  }
  std::string Pop(TimePoint now = kStart) {
    const auto waiter = queue.Pop(now);
    return waiter ? waiter->organisation + "/" + waiter->subscriber : "";
  }
};

/// Pops a waiter and checks it against a linear search: its organisation and
/// subscriber must have the lowest rank, and it must be the subscriber's first.
void PopAndCompareWithSearch(QueueFixture& fixture,
                             std::vector<FairQueue::Waiter>& waiting) {
  const UsageLedger before = fixture.ledger;
  const auto popped = fixture.queue.Pop(kStart);
  const std::string& organisation = popped->organisation;
  const double rank = before.OrganisationRank(organisation);
  const double subscriber_rank =
      before.SubscriberRank(organisation, popped->subscriber);
  auto first = waiting.end();
  for (auto waiter = waiting.begin(); waiter != waiting.end(); ++waiter) {
    cr_assert(rank <= before.OrganisationRank(waiter->organisation));
    if (waiter->organisation != organisation) {
      continue;
    }
    cr_assert(subscriber_rank <=
              before.SubscriberRank(organisation, waiter->subscriber));
    if (first == waiting.end() && waiter->subscriber == popped->subscriber) {
      first = waiter;
    }
  }
  cr_assert(first->request == popped->request);
  waiting.erase(first);
}

}  // namespace

Test(fair_queue, heavy_organisation_waits_behind_but_gets_what_is_idle) {
  QueueFixture fixture;
  fixture.ledger.Charge(kStart, "heavy", "s", 5);
  fixture.Push("heavy", "s");
  fixture.Push("light", "s");
  cr_assert_eq(fixture.Pop(), "light/s");
  cr_assert_eq(fixture.Pop(), "heavy/s");
  cr_assert_eq(fixture.Pop(), "");
}

Test(fair_queue, heavy_subscriber_waits_behind_those_of_its_organisation) {
  QueueFixture fixture;
  fixture.ledger.Charge(kStart, "org", "heavy", 5);
  fixture.Push("org", "heavy");
  fixture.Push("org", "light");
  cr_assert_eq(fixture.Pop(), "org/light");
}

Test(fair_queue, weight_three_goes_three_times_as_often) {
  QueueFixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.Push("small", "s", 1);
    fixture.Push("large", "s", 3);
  }
  int large = 0;
  for (int i = 0; i < 40; ++i) {
    large += fixture.Pop() == "large/s" ? 1 : 0;
  }
  cr_assert(large >= 29 && large <= 31, "%d", large);
}

// The queue of another pool charges the same ledger while an organisation waits
// here, so its position is outdated when it comes first.
Test(fair_queue, use_charged_elsewhere_counts_at_once) {
  QueueFixture fixture;
  fixture.Push("zeroth", "s");
  fixture.Push("first", "s");
  fixture.Push("second", "s");
  cr_assert_eq(fixture.Pop(), "zeroth/s");
  fixture.ledger.Charge(kStart, "first", "s", 3);
  cr_assert_eq(fixture.Pop(), "second/s");
}

// The peer that had reported heavy usage is dropped, so the organisation's rank
// falls while it waits. The new rank must take effect within a second.
Test(fair_queue, rank_that_fell_counts_after_a_second) {
  QueueFixture fixture;
  fixture.ledger.Charge(kStart, "other", "s", 1);
  fixture.ledger.SetRemote(kStart, "peer", {{{"cleared", ""}, 100}});
  fixture.Push("cleared", "s");
  fixture.Push("other", "s");
  fixture.Push("other", "s");
  cr_assert_eq(fixture.Pop(), "other/s");
  fixture.ledger.DropRemote("peer");
  cr_assert_eq(fixture.Pop(kStart + seconds(1)), "cleared/s");
}

Test(fair_queue, worst_is_last_of_heaviest) {
  QueueFixture fixture;
  fixture.ledger.Charge(kStart, "heavy", "s1", 5);
  fixture.ledger.Charge(kStart, "heavy", "s2", 1);
  fixture.Push("light", "s");
  fixture.Push("heavy", "s1");
  const RequestId last = fixture.Push("heavy", "s1");
  fixture.Push("heavy", "s2");
  cr_assert(fixture.queue.LowestPriority(kStart)->request == last);
  cr_assert(fixture.queue.WouldBeLowestPriority(kStart,
                                                {RequestId{9}, "heavy", "s1"}));
  cr_assert_not(fixture.queue.WouldBeLowestPriority(
      kStart, {RequestId{9}, "heavy", "s2"}));
  cr_assert_not(fixture.queue.WouldBeLowestPriority(
      kStart, {RequestId{9}, "light", "s"}));
}

Test(fair_queue, refused_waiters_stay_and_asking_stops_at_the_limit) {
  QueueFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Push("org" + std::to_string(i), "s");
  }
  int asked = 0;
  const auto none = fixture.queue.Pop(
      kStart, [&](const FairQueue::Waiter& /*waiter*/) { return ++asked < 0; },
      4);
  cr_assert_not(none.has_value());
  cr_assert_eq(asked, 4);
  cr_assert_eq(fixture.queue.size(), 10);
}

Test(fair_queue, generated_history_pops_as_a_full_search_would) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 rng(seed);
    QueueFixture fixture;
    std::vector<FairQueue::Waiter> waiting;
    for (int step = 0; step < 400; ++step) {
      const std::string organisation = std::to_string(rng() % 7);
      const std::string subscriber = std::to_string(rng() % 3);
      const double cost = 1 + static_cast<double>(rng() % 1000) / 7;
      if (rng() % 3 == 0) {
        fixture.ledger.Charge(kStart, organisation, subscriber, cost);
      } else if (waiting.empty() || rng() % 2 == 0) {
        waiting.push_back(
            {RequestId{fixture.next++}, organisation, subscriber, 1, cost});
        fixture.queue.Push(waiting.back());
      } else if (rng() % 4 == 0) {
        const std::size_t index = rng() % waiting.size();
        cr_assert(fixture.queue.Remove(waiting[index].request));
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
      } else {
        PopAndCompareWithSearch(fixture, waiting);
      }
    }
    cr_assert_eq(fixture.queue.size(), waiting.size());
  }
}
