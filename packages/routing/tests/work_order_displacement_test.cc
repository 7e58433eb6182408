#include <criterion/criterion.h>

#include <vector>

#include "gentianroute/routing/work_order.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

// Load: two requests of much value fill the time of one server and can both be
// in time; a small one of little value comes behind them and can't. Its caller
// waits. The two must stay as they are: once the small one has stepped back,
// nothing is late any more.
Test(work_order_displacement, displaced_work_displaces_no_other_work) {
  constexpr Duration kMinDuration = 246 * kMs;
  const std::vector<WaitingWork> waiting = {
      {1, kStart, kStart + 449 * kMs, 200 * kMs, kMinDuration, 0.9},
      {2, kStart, kStart + 450 * kMs, 200 * kMs, kMinDuration, 1.0},
      {3, kStart, kStart + 455 * kMs, 24 * kMs, kMinDuration, 0.01},
  };
  const auto order = OrderWork(kStart, waiting, Duration{0}, 1);
  cr_assert_eq(order[0].id, 1);
  cr_assert_eq(order[1].id, 2);
  cr_assert_eq(order[2].id, 3);
}

// Load: as above, but what comes last is worth more for its time than one of
// the two, and too long to be in time even in that one's place. It alone is
// late: whatever would have made way for it keeps its place.
Test(work_order_displacement, infeasible_work_displaces_no_other_work) {
  constexpr Duration kMinDuration = 246 * kMs;
  const std::vector<WaitingWork> waiting = {
      {1, kStart, kStart + 449 * kMs, 200 * kMs, kMinDuration, 0.3},
      {2, kStart, kStart + 450 * kMs, 200 * kMs, kMinDuration, 1.0},
      {3, kStart, kStart + 455 * kMs, 300 * kMs, 300 * kMs, 0.5},
  };
  const auto order = OrderWork(kStart, waiting, Duration{0}, 1);
  cr_assert_eq(order[0].id, 1);
  cr_assert_eq(order[1].id, 2);
  cr_assert_eq(order[2].id, 3);
}
