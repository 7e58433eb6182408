#include <criterion/criterion.h>

#include <vector>

#include "gentianroute/routing/work_order.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

// Two requests of high value fill the time of one server and can both be on
// time; a small third one of little value can't. Displacing the small one makes
// the schedule feasible again, so the two must keep their places.
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

// As above, but the third request has a higher value density than the first,
// and is too long to be on time even in its place. Only the third is late; any
// request that would have been displaced for it keeps its place.
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
