#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using gentianroute::testing::CallHttp;
using gentianroute::testing::Deployment;
using gentianroute::testing::Eventually;
using gentianroute::testing::PipelineFixture;
using nlohmann::json;

namespace {

constexpr std::size_t kDaemons = 4;
constexpr int kTimeoutSeconds = 20;  // generous; the actual time is printed

json StatusOf(const Deployment& deployment, std::size_t daemon) {
  return json::parse(
      CallHttp(deployment.operator_port(daemon), "GET", "/status", "").body,
      nullptr, false);
}

bool SeesLeavingServer(const Deployment& deployment, std::size_t daemon) {
  const json status = StatusOf(deployment, daemon);
  for (const json& server : status.at("servers")) {
    if (server.at("leaving")) {
      return true;
    }
  }
  return false;
}

/// Posts requests with this marker one after another.
/// @return the number of them that the backend server ran
std::uint64_t PostAndCountRuns(const PipelineFixture& fixture,
                               std::size_t daemon,
                               std::size_t backend,
                               const std::string& marker) {
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    const auto response = fixture.Post(daemon, "chat", marker).get();
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }
  return fixture.deployment.RunCount(backend, marker);
}

bool AllHaveNewerRevision(const Deployment& deployment,
                          std::uint64_t revision) {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (StatusOf(deployment, i).at("revision") <= revision) {
      return false;
    }
  }
  return true;
}

/// Applies a change at one daemon and prints the time until all daemons have
/// it.
void PrintPropagationTime(Deployment& deployment) {
  const std::uint64_t before = StatusOf(deployment, 0).at("revision");
  const auto start = std::chrono::steady_clock::now();
  deployment.Apply(R"({"pools": [{"name": "late"}]})");
  cr_assert(Eventually(kTimeoutSeconds, [&] {
    return AllHaveNewerRevision(deployment, before);
  }));
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("in force at %zu daemons after %.2f s\n", kDaemons,
              elapsed.count());
}

}  // namespace

// A server reports to one daemon that it is leaving, while the platform's host
// list still has it as live. The second daemon, which has not called it, learns
// of it by gossip. Both daemons must send all requests to the other server.
Test(propagation, leaving_server_that_the_list_names_live_gets_no_new_work) {
  PipelineFixture fixture(2, 2, 1);
  Deployment& deployment = fixture.deployment;
  const std::size_t leaving_server = fixture.encoders[0];
  deployment.SetFaults(leaving_server, R"({"leaving": true})");
  cr_assert(Eventually(kTimeoutSeconds, [&] {
    fixture.Post(0, "chat", "probe").get();
    return SeesLeavingServer(deployment, 0);
  }));
  cr_assert(Eventually(kTimeoutSeconds,
                       [&] { return SeesLeavingServer(deployment, 1); }));
  // Both daemons get a new list that still has the server as live.
  const std::size_t listed = StatusOf(deployment, 0).at("servers").size();
  deployment.AddBackend("encoders");
  for (const std::size_t daemon : {0, 1}) {
    cr_assert(Eventually(kTimeoutSeconds, [&] {
      return StatusOf(deployment, daemon).at("servers").size() > listed;
    }));
  }
  // From here on the server would accept requests again.
  deployment.SetFaults(leaving_server, R"({"leaving": false})");
  for (const std::size_t daemon : {0, 1}) {
    const std::string marker = "after-" + std::to_string(daemon);
    cr_expect_eq(PostAndCountRuns(fixture, daemon, leaving_server, marker), 0);
  }
}

// Daemons poll the store only every 30 s, as most of 810 daemons do, so that
// only the daemon of the operator has the new revision at first. The others
// must learn of it by gossip and fetch it from that daemon long before their
// next poll.
Test(propagation, profile_reaches_daemons_that_do_not_poll) {
  PipelineFixture fixture(kDaemons, 1, 1, R"({"platform": {"pollMs": 30000}})");
  PrintPropagationTime(fixture.deployment);
}

// An operator applies a change at one daemon, and all others must apply it
// within seconds. During an outage of the platform and after it, no daemon may
// return to an earlier revision.
Test(propagation, profile_is_in_force_everywhere_and_stays) {
  PipelineFixture fixture(kDaemons, 1, 1);
  Deployment& deployment = fixture.deployment;
  const std::uint64_t before = StatusOf(deployment, 0).at("revision");
  PrintPropagationTime(deployment);
  deployment.SetPlatformFaults(R"({"silent": true})");
  constexpr int kChecks = 5;
  constexpr useconds_t kCheckIntervalMicros = 300'000;  // a few polls
  for (int i = 0; i < kChecks; ++i) {
    usleep(kCheckIntervalMicros);
    cr_expect(AllHaveNewerRevision(deployment, before));
    cr_expect_eq(fixture.Post(0, "chat", "out").get().status, 200);
  }
  deployment.SetPlatformFaults(R"({"silent": false})");
  for (int i = 0; i < kChecks; ++i) {
    usleep(kCheckIntervalMicros);
    cr_expect(AllHaveNewerRevision(deployment, before));
    cr_expect_eq(fixture.Post(1, "chat", "back").get().status, 200);
  }
}
