// Unit tests of the table of requests that crash servers.

#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "gentianroute/decision/suspect_table.h"

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Fingerprint kCrashing{7};

struct SuspectTableFixture {
  SuspectTable table;
  TimePoint now = TimePoint{} + seconds(100);

  void Crash(const std::string& server, Fingerprint fingerprint = kCrashing) {
    table.OnCrash(now, server, 1, {&fingerprint, 1});
  }
};

}  // namespace

TestSuite(suspect_table);

// Guards against evidence that lapses before the host list can show that the
// server is gone: its entry ends only after some heartbeats of silence.
Test(suspect_table, entry_ends_after_its_lifetime_crash_is_confirmed) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b", "c"}) {
    fixture.Crash(server);
  }
  fixture.now += milliseconds(4200);
  for (const char* server : {"a", "b", "c"}) {
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}
