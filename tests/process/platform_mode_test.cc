// Runs the daemon in platform mode as a process, against a store and a backend
// server that the test simulates.

#include <signal.h>

#include <criterion/criterion.h>

#include <string>

#include "platform_fixture.h"

using namespace gentianroute;
using namespace gentianroute::testing;

namespace {

/// The daemon process, with a store that has one route and one server.
struct ProgramFixture : PlatformFixture {
  PlatformProgram program{"edge-1"};

  ProgramFixture() { Start(program); }
};

}  // namespace

Test(platform_mode, program_serves_a_request_and_counts_it) {
  ProgramFixture fixture;
  cr_assert(fixture.BecomesReady(fixture.program));
  const auto response =
      fixture.SendRequest(fixture.program.caller_port, "POST", "/x/1", "hi");
  cr_assert_eq(response.status, 200);
  cr_assert(response.body == "got hi");
  const auto counters =
      fixture.SendRequest(fixture.program.metrics_port, "GET", "/metrics");
  cr_assert(
      counters.body.find(
          "gentianroute_gateway_requests_total{outcome=\"answered\"} 1") !=
      std::string::npos);
}

Test(platform_mode, stop_signal_ends_it_with_success) {
  ProgramFixture fixture;
  cr_assert(fixture.BecomesReady(fixture.program));
  fixture.program.process->Signal(SIGTERM);
  cr_assert_eq(fixture.program.process->Wait(kTimeoutSeconds), 0);
}
