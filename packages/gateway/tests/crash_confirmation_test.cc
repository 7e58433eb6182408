// Unit tests of the confirmation of crashes with the settings of a daemon.

#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "gentianroute/decision/suspect_table.h"
#include "gentianroute/gateway/settings.h"

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Fingerprint kCrashing{7};

struct CrashConfirmationFixture {
  gateway::GatewaySettings settings;
  SuspectTable table{
      {.confirmation_timeout = settings.CrashConfirmationTime()}};
  TimePoint now = TimePoint{} + seconds(100);

  void Crash(const std::string& server) {
    table.OnCrash(now, server, 1, {&kCrashing, 1});
  }
};

}  // namespace

TestSuite(crash_confirmation);

// Guards against evidence that lapses before the host list can show that the
// server is gone: its entry ends only after some heartbeats of silence.
Test(crash_confirmation, entry_ends_after_its_lifetime_crash_is_confirmed) {
  CrashConfirmationFixture fixture;
  for (const char* server : {"a", "b", "c"}) {
    fixture.Crash(server);
  }
  fixture.now += fixture.settings.server_entry_lifetime + milliseconds(600);
  for (const char* server : {"a", "b", "c"}) {
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}
