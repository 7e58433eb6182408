#include <signal.h>

#include <memory>
#include <string>

#include "harness.h"

#include <criterion/criterion.h>

using gentianroute::testing::ClientResponse;
using gentianroute::testing::Deployment;

namespace {

constexpr const char* kDeclarations = R"({
  // Two stages, the second one streamed.
  "pools": [{"name": "encoders"}, {"name": "llm", "kind": "engine"}],
  "profiles": [{
    "name": "drafts",
    "stages": [
      {"name": "encode", "pool": "encoders", "costPerCallMicros": 5},
      {"name": "generate", "pool": "llm", "streams": true, "costPerUnitMicros": 2}
    ]}],
  "services": [{"name": "drafting", "profile": "drafts"}]
})";

std::unique_ptr<Deployment> deployment;

void SetUp() {
  deployment = std::make_unique<Deployment>();
  deployment->AddBackend("encoders");
  deployment->AddBackend("llm", {"--tokens", "4"});
  deployment->AddDaemon();
  deployment->AddDaemon();
  deployment->Apply(kDeclarations);
}

void TearDown() {
  deployment.reset();
}

}  // namespace

TestSuite(whole_path, .init = SetUp, .fini = TearDown);

Test(whole_path, request_through_two_stages_gets_complete_response_and_cost) {
  for (const std::size_t daemon : {0U, 1U}) {
    const ClientResponse response =
        deployment->Post(daemon, "drafting", R"({"prompt": "hello"})");
    cr_assert_eq(response.status, 200);
    cr_assert_eq(response.body, "\"w0 w1 w2 w3 \"");
    cr_assert(response.headers.find("x-cost-micros: 13") != std::string::npos);
  }
}

Test(whole_path, planned_stop_when_idle_exits_zero) {
  deployment->daemon(0).Signal(SIGTERM);
  cr_assert_eq(deployment->daemon(0).Wait(10), 0);
}
