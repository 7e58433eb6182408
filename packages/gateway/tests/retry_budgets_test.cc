#include "gentianroute/gateway/retry_budgets.h"

#include <criterion/criterion.h>

#include <vector>

using namespace gentianroute::gateway;

namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 170;
constexpr std::size_t kDaemons = 65;

/// Takes all retries that the budgets of all daemons give at once.
int TakeAll(std::vector<RetryBudgets>& fleet, std::size_t known_daemons) {
  int taken = 0;
  for (RetryBudgets& budgets : fleet) {
    while (budgets.TryTake("model", known_daemons)) {
      ++taken;
    }
  }
  return taken;
}

}  // namespace

TestSuite(retry_budgets);

// Guards against a fleet that starts at once, in which each daemon takes the
// whole burst because it knows no other daemon yet.
Test(retry_budgets, all_daemons_start_alone_sum_stays_within_the_slack) {
  std::vector<RetryBudgets> fleet(kDaemons, RetryBudgets(kRatio, kSlack));
  cr_assert_leq(TakeAll(fleet, 1), kSlack);
}

// Guards against daemons that keep the part of a smaller fleet after the fleet
// has grown.
Test(retry_budgets, fleet_grows_sum_follows_the_number_of_daemons) {
  std::vector<RetryBudgets> fleet(kDaemons, RetryBudgets(kRatio, kSlack));
  int requests = 0;
  for (RetryBudgets& budgets : fleet) {
    for (int i = 0; i < 2000; ++i) {
      budgets.OnRequest("model", 3);
      ++requests;
    }
  }
  cr_assert_gt(requests, 0);
  cr_assert_leq(TakeAll(fleet, kDaemons), kSlack);
}

Test(retry_budgets, small_fleet_daemon_reaches_its_part_of_the_burst) {
  std::vector<RetryBudgets> one(1, RetryBudgets(kRatio, 58));
  for (int i = 0; i < 100; ++i) {
    one[0].OnRequest("model", 9);
  }
  cr_assert_eq(TakeAll(one, 9), 4);
}
