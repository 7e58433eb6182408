#include <unistd.h>

#include <future>
#include <vector>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

TestSuite(crashing_request);

// One request crashes each server that runs it, and the servers restart as new
// processes. That request must be refused as quarantined, and all other
// requests that ran on the same servers must be answered.
Test(crashing_request, is_quarantined_and_others_are_answered) {
  PipelineFixture fixture(1, 3, 0);
  for (const std::size_t encoder : fixture.encoders) {
    fixture.deployment.SetFaults(
        encoder, R"({"crash_marker": "poison", "delay_ms": 150})");
  }
  std::vector<std::future<ClientResponse>> others;
  others.reserve(9);
  for (int i = 0; i < 9; ++i) {
    others.push_back(fixture.Post(0, "chat", "letter"));
  }
  bool quarantined = false;
  for (int i = 0; i < 6 && !quarantined; ++i) {
    const ClientResponse poison = fixture.Post(0, "chat", "poison").get();
    cr_assert_neq(poison.status, 200);
    quarantined = IsProblem(poison, "quarantined");
    for (const std::size_t encoder : fixture.encoders) {
      if (fixture.deployment.backend(encoder).Wait(0) >= 0) {
        fixture.deployment.RestartBackend(encoder);
        fixture.deployment.SetFaults(encoder, R"({"crash_marker": "poison"})");
      }
    }
    usleep(400'000);  // until the daemon has read the host list
  }
  cr_assert(quarantined);
  for (std::future<ClientResponse>& other : others) {
    const ClientResponse response = other.get();
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }
}
