#include <signal.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

constexpr const char* kSilenceOpenConnections = R"({"silence_open": true})";

std::uint64_t AppliedRevision(const PipelineFixture& fixture,
                              std::size_t daemon) {
  const ClientResponse response =
      CallHttp(fixture.deployment.operator_port(daemon), "GET", "/status", "");
  const auto status = nlohmann::json::parse(response.body, nullptr, false);
  return status.is_object() ? status.value("revision", 0U) : 0;
}

}  // namespace

TestSuite(silent_links);

// An order is sent again to a second daemon, which asks the first one for the
// outcome; the first one is then stopped with SIGSTOP. The second daemon must
// answer outcome_unknown within the deadline of its request. After SIGCONT the
// first caller gets a response, and the order has run once.
Test(silent_links, peer_stopped_while_asked_for_outcome_response_is_unknown) {
  PipelineFixture fixture(2, 1, 0);
  fixture.deployment.SetFaults(fixture.orders, R"({"delay_ms": 2500})");
  std::future<ClientResponse> first =
      fixture.Post(0, "ordering", "plaque", "key-1");
  cr_assert(Eventually(10, [&] {
    return fixture.deployment.RunCount(fixture.orders, "plaque") == 1;
  }));
  std::future<ClientResponse> resend =
      fixture.Post(1, "ordering", "plaque", "key-1");
  cr_assert_eq(resend.wait_for(std::chrono::milliseconds(500)),
               std::future_status::timeout);
  fixture.deployment.daemon(0).Signal(SIGSTOP);
  // The timeout of the HTTP call is far longer than the deadline of the
  // profile.
  const ClientResponse second = resend.get();
  cr_assert(IsProblem(second, "outcome_unknown"), "%s", second.body.c_str());
  fixture.deployment.daemon(0).Signal(SIGCONT);
  cr_assert_neq(first.get().status, 0);
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
}

// All open connections to the platform stop carrying data. The calls on them
// time out and the daemon opens new ones, so that new claims and new revisions
// succeed again without intervention.
Test(silent_links, platform_connections_silent_claims_and_revisions_recover) {
  PipelineFixture fixture(2, 1, 0);
  for (int round = 0; round < 3; ++round) {
    const std::string name = "plaque-" + std::to_string(round);
    const std::uint64_t before = AppliedRevision(fixture, 1);
    fixture.deployment.SetPlatformFaults(kSilenceOpenConnections);
    cr_assert(Eventually(15, [&] {
      const ClientResponse order =
          fixture.Post(0, "ordering", name, name).get();
      cr_assert(order.status == 200 || IsProblem(order, "store_unavailable") ||
                    IsProblem(order, "outcome_unknown"),
                "%s", order.body.c_str());
      return order.status == 200;
    }));
    cr_assert_eq(fixture.deployment.RunCount(fixture.orders, name), 1);
    fixture.deployment.SetPlatformFaults(kSilenceOpenConnections);
    const std::string pool = "spare-" + std::to_string(round);
    const std::string declared = R"({"pools": [{"name": ")" + pool + R"("}]})";
    cr_assert(Eventually(15, [&] {
      const int code = fixture.deployment.TryApply(declared);
      return code == 0;
    }));
    cr_assert(
        Eventually(15, [&] { return AppliedRevision(fixture, 1) > before; }));
  }
}
