#include <signal.h>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

TestSuite(frozen_platform);

// What the caller sees: the order is refused as not run while the platform is
// frozen, and goes through once it is resumed. The frozen platform takes the
// claim's write only later, when the daemon has given its token up; a row that
// appears then must never be dispatched, nor block the key for good.
Test(frozen_platform,
     resumed_after_claim_was_given_up_order_runs_at_most_once) {
  PipelineFixture fixture(1, 1, 0);
  fixture.deployment.platform().Signal(SIGSTOP);
  const ClientResponse order =
      fixture.Post(0, "ordering", "plaque", "key-1").get();
  cr_assert(IsProblem(order, "store_unavailable"), "%s", order.body.c_str());
  fixture.deployment.platform().Signal(SIGCONT);
  cr_assert(Eventually(15, [&] {
    return fixture.Post(0, "ordering", "plaque", "key-1").get().status == 200;
  }));
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
}
