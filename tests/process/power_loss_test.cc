// Runs daemons in platform mode as processes that all end at the same moment,
// as when all hosts lose power.

#include <signal.h>

#include <criterion/criterion.h>

#include <array>
#include <string>

#include "platform_fixture.h"

using namespace gentianroute;
using namespace gentianroute::testing;

namespace {

/// Three daemons that have served a request each.
struct PowerLossFixture : PlatformFixture {
  std::array<PlatformProgram, 3> programs{{{"edge-1"}, {"edge-2"}, {"edge-3"}}};

  PowerLossFixture() {
    StartAll();
    ExpectServed("/x/1");
  }
  void StartAll() {
    for (PlatformProgram& program : programs) {
      Start(program);
    }
    for (const PlatformProgram& program : programs) {
      cr_assert(BecomesReady(program));
    }
  }
  /// Ends all daemons without a word to anyone.
  void LosePower() {
    for (const PlatformProgram& program : programs) {
      program.process->Signal(SIGKILL);
    }
    for (const PlatformProgram& program : programs) {
      program.process->Wait(kTimeoutSeconds);
    }
  }
  void ExpectServed(const std::string& path) {
    for (const PlatformProgram& program : programs) {
      const auto response =
          SendRequest(program.caller_port, "POST", path, "hi");
      cr_expect_eq(response.status, 200, "%s answers %d", program.name.c_str(),
                   response.status);
    }
  }
};

}  // namespace

// Guards against state that only daemons have: the store alone must be enough
// for all of them to serve again.
Test(power_loss, all_daemons_lose_power_all_serve_again) {
  PowerLossFixture fixture;
  fixture.LosePower();
  fixture.StartAll();
  fixture.ExpectServed("/x/1");
}

// Guards against a change that was acknowledged just before being lost with the
// daemons that had read it.
Test(power_loss, change_just_before_is_in_force_afterwards) {
  PowerLossFixture fixture;
  fixture.PutDeployment(2, "/changed/");
  fixture.LosePower();
  fixture.StartAll();
  fixture.ExpectServed("/changed/1");
}
