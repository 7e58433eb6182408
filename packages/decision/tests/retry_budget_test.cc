#include "gentianroute/decision/retry_budget.h"

#include <criterion/criterion.h>

using namespace gentianroute;

Test(retry_budget, extra_calls_stay_within_burst_and_share_of_successes) {
  RetryBudget budget({0.1, 5});
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    taken += budget.TryTake() ? 1 : 0;
  }
  cr_assert_eq(taken, 5, "an outage has no successes to draw on");
  for (int i = 0; i < 1000; ++i) {
    budget.OnSuccess();
    taken += budget.TryTake() ? 1 : 0;
  }
  cr_assert(taken >= 103 && taken <= 105, "%d", taken);
}

Test(retry_budget, long_success_saves_up_no_more_than_burst) {
  RetryBudget budget({0.1, 5});
  for (int i = 0; i < 10'000; ++i) {
    budget.OnSuccess();
  }
  cr_assert_float_eq(budget.tokens(), 5, 1e-9);
}
