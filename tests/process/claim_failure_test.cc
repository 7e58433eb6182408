#include <signal.h>
#include <unistd.h>

#include <future>
#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

bool WaitForOrder(const PipelineFixture& fixture, const std::string& marker) {
  return Eventually(10, [&] {
    return fixture.deployment.RunCount(fixture.orders, marker) == 1;
  });
}

}  // namespace

TestSuite(claim_failure);

// A daemon is killed while its order runs, and the caller sends the same order
// to a second daemon. The row of the claim has no outcome, and the daemon that
// knows it is gone, so that the second one must not run the order and must
// answer outcome_unknown.
Test(claim_failure, daemon_killed_before_outcome_resend_is_outcome_unknown) {
  PipelineFixture fixture(2, 1, 0);
  fixture.deployment.SetFaults(fixture.orders, R"({"delay_ms": 1000})");
  std::future<ClientResponse> first =
      fixture.Post(0, "ordering", "plaque", "key-1");
  cr_assert(WaitForOrder(fixture, "plaque"));
  fixture.deployment.daemon(0).Signal(SIGKILL);
  cr_assert_eq(first.get().status, 0);
  const ClientResponse resend =
      fixture.Post(1, "ordering", "plaque", "key-1").get();
  cr_assert(IsProblem(resend, "outcome_unknown"), "%s", resend.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
}

// The same key arrives at two daemons at the same time. The store lets one of
// them claim it, and the other one asks that daemon for the outcome: the order
// runs once and both callers get the same response.
Test(claim_failure, same_key_at_two_daemons_runs_once_both_get_the_answer) {
  PipelineFixture fixture(2, 1, 0);
  fixture.deployment.SetFaults(fixture.orders, R"({"delay_ms": 300})");
  for (int i = 0; i < 5; ++i) {
    const std::string name = "plaque-" + std::to_string(i);
    std::future<ClientResponse> one = fixture.Post(0, "ordering", name, name);
    std::future<ClientResponse> two = fixture.Post(1, "ordering", name, name);
    const ClientResponse first = one.get();
    const ClientResponse second = two.get();
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_assert_eq(first.body, second.body);
    cr_assert_eq(fixture.deployment.RunCount(fixture.orders, name), 1);
  }
}

// While the platform is unavailable, an order with a key is refused as not run,
// with Retry-After, and requests without a key are served. When the platform is
// available again, an order with the same key succeeds.
Test(claim_failure, platform_down_keyed_refused_unkeyed_served) {
  PipelineFixture fixture(1, 1, 0);
  for (const char* fault :
       {R"({"outage": true})", R"({"outage": false, "error_status": 503})",
        R"({"error_status": 0, "silent": true})"}) {
    fixture.deployment.SetPlatformFaults(fault);
    const ClientResponse order =
        fixture.Post(0, "ordering", "plaque", "key-1").get();
    cr_assert(IsProblem(order, "store_unavailable"), "%s: %s", fault,
              order.body.c_str());
    cr_assert(order.body.find(R"("work":"not_run")") != std::string::npos);
    cr_assert(order.body.find(R"("key_checked":false)") != std::string::npos);
    cr_assert(order.headers.find("retry-after: ") != std::string::npos);
    cr_assert_eq(fixture.Post(0, "chat", "question").get().status, 200);
  }
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 0);
  fixture.deployment.SetPlatformFaults(R"({"silent": false})");
  cr_assert(Eventually(15, [&] {
    return fixture.Post(0, "ordering", "plaque", "key-1").get().status == 200;
  }));
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
}

// A daemon is stopped with SIGSTOP while its order runs; the same order sent to
// a second daemon gets outcome_unknown. After SIGCONT the first daemon may
// record the outcome, so that a later attempt gets the stored response or
// outcome_unknown. The order runs once.
Test(claim_failure, daemon_frozen_during_order_and_resumed_order_runs_once) {
  PipelineFixture fixture(2, 1, 0);
  fixture.deployment.SetFaults(fixture.orders, R"({"delay_ms": 200})");
  std::future<ClientResponse> first =
      fixture.Post(0, "ordering", "plaque", "key-1");
  cr_assert(WaitForOrder(fixture, "plaque"));
  fixture.deployment.daemon(0).Signal(SIGSTOP);
  const ClientResponse resend =
      fixture.Post(1, "ordering", "plaque", "key-1").get();
  cr_assert(IsProblem(resend, "outcome_unknown"), "%s", resend.body.c_str());
  fixture.deployment.daemon(0).Signal(SIGCONT);
  cr_assert_neq(first.get().status, 0);
  const ClientResponse stored =
      fixture.Post(1, "ordering", "plaque", "key-1").get();
  cr_assert(stored.status == 200 || IsProblem(stored, "outcome_unknown"), "%s",
            stored.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
}
