#include "gentianroute/routing/scheduler_rank.h"

#include <criterion/criterion.h>

using gentianroute::routing::SchedulerRank;

Test(scheduler_rank, daemon_beside_the_servers_goes_before_a_stronger_one) {
  const SchedulerRank near{true, true, 0.125, 1};
  const SchedulerRank strong{true, false, 0.5, 9};
  cr_assert(strong < near);
}

// Each data centre has many small daemons and a few larger ones, and calls name
// hundreds of results. With a small daemon as the scheduler the servers are
// idle while it builds the next call.
Test(scheduler_rank, stronger_daemon_goes_before_one_with_a_higher_hash) {
  const SchedulerRank small{true, true, 0.125, 9};
  const SchedulerRank strong{true, true, 0.5, 1};
  cr_assert(small < strong);
}

Test(scheduler_rank, equal_daemons_share_services_by_hash) {
  const SchedulerRank low{true, true, 0.5, 1};
  const SchedulerRank high{true, true, 0.5, 2};
  cr_assert(low < high);
}

// Guards against a daemon being asked to call servers that it can't reach.
Test(scheduler_rank, daemon_is_cut_off_any_other_ranks_higher) {
  const SchedulerRank cut_off{false, true, 0.5, 9};
  const SchedulerRank far{true, false, 0.125, 1};
  cr_assert_gt(far, cut_off);
}
