#include <signal.h>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

TestSuite(frozen_platform);

// The platform is stopped with SIGSTOP, so that an order with a key is refused
// as not run. After SIGCONT the platform still executes the write of the claim,
// whose token the daemon has given up by then; that row must never lead to a
// dispatch or block the key permanently, and the order succeeds when it is sent
// again.
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
