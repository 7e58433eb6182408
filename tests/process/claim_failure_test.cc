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

// What the caller sees: no answer from the first daemon, which is killed while
// its order runs; then outcome_unknown from the second, to which it sends the
// same order again. The claim's row has no outcome, and the daemon that could
// tell is gone, so the second one can't know, and must not run it.
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

// What the callers see: the same answer twice, and one plaque. The same key
// arrives at two daemons at once; the store lets one claim it, and the other
// asks that one for the outcome.
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

// What the callers see while the platform is down: an order with a key is
// refused as not run, with Retry-After; questions are answered as ever. The
// platform comes back, and the same key goes through.
Test(claim_failure, platform_down_keyed_refused_unkeyed_go_on) {
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

// What the caller sees: outcome_unknown from the second daemon, to which it
// sends its order again while the first is frozen in the middle of it; then,
// once the first is resumed and has written the outcome, the stored answer.
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
