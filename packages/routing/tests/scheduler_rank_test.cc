#include "gentianroute/routing/scheduler_rank.h"

#include <criterion/criterion.h>

using gentianroute::routing::SchedulerRank;

Test(scheduler_rank, daemon_beside_the_servers_goes_before_a_stronger_one) {
  const SchedulerRank near{true, 0.125, 1};
  const SchedulerRank strong{false, 0.5, 9};
  cr_assert(strong < near);
}

// Each data centre has many small daemons and a few larger ones, and calls name
// hundreds of results. With a small daemon as the scheduler the servers are
// idle while it builds the next call.
Test(scheduler_rank, stronger_daemon_goes_before_one_with_a_higher_hash) {
  const SchedulerRank small{true, 0.125, 9};
  const SchedulerRank strong{true, 0.5, 1};
  cr_assert(small < strong);
}

Test(scheduler_rank, equal_daemons_share_services_by_hash) {
  const SchedulerRank low{true, 0.5, 1};
  const SchedulerRank high{true, 0.5, 2};
  cr_assert(low < high);
}
