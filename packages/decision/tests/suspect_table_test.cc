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
constexpr Fingerprint kNeighbour{8};

struct SuspectTableFixture {
  SuspectTable table;
  TimePoint now = TimePoint{} + seconds(100);

  void Crash(const std::string& server, Fingerprint fingerprint = kCrashing) {
    table.OnCrash(now, server, 1, {&fingerprint, 1});
  }
};

}  // namespace

TestSuite(suspect_table);

// Guards against a request being refused because it ran beside the one that
// crashed two servers, when each of them reports the crash by itself.
Test(suspect_table, two_crashes_reported_by_neighbours_do_not_quarantine) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b"}) {
    fixture.Crash(server, kCrashing);
    fixture.Crash(server, kNeighbour);
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert_not(fixture.table.IsQuarantined(fixture.now, kNeighbour));
  cr_assert_not(fixture.table.IsQuarantinePending(fixture.now, kNeighbour));
}

Test(suspect_table, two_crashes_while_alone_quarantine) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b"}) {
    fixture.Crash(server);
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}
