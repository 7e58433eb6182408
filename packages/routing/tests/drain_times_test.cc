#include "gentianroute/routing/drain_times.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

const DrainTimes kDrain{kStart + 2600 * kMs, kStart + 7600 * kMs};

}  // namespace

Test(drain_times, daemon_that_runs_takes_every_request) {
  cr_assert(DrainTimes().CanAccept(kStart, std::chrono::hours(1)));
}

Test(drain_times, requests_that_the_balancer_still_sends_are_taken) {
  cr_assert(kDrain.CanAccept(kStart + 2500 * kMs, std::chrono::seconds(9)));
}

// The caller sends a chat on a connection that it has had open, 4.5 s after the
// stop. Its answer takes 3 s and more, and the process ends_at 3 s later: the
// caller would see half of it. Refused, it gets all of it from another daemon.
Test(drain_times, late_request_that_may_outlast_the_daemon_is_refused) {
  cr_assert_not(kDrain.CanAccept(kStart + 4600 * kMs, 2900 * kMs));
}

Test(drain_times, late_request_that_ends_soon_is_taken) {
  cr_assert(kDrain.CanAccept(kStart + 4600 * kMs, 50 * kMs));
}
