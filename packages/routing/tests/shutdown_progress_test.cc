// When a daemon that has been told to stop may end.

#include "gentianroute/routing/shutdown_progress.h"

#include <criterion/criterion.h>

#include <array>
#include <chrono>

using namespace gentianroute;
using namespace gentianroute::routing;
using std::chrono::milliseconds;
using Step = ShutdownProgress::Step;

namespace {

constexpr TimePoint kStop{std::chrono::seconds(100)};
constexpr TimePoint kLastRequest = kStop + milliseconds(2600);
constexpr TimePoint kEnd = kStop + milliseconds(7600);
constexpr Duration kQuiet = ShutdownProgress::kQuietTime;

struct ShutdownFixture {
  ShutdownProgress progress{DrainTimes{kLastRequest, kEnd}};
};

/// Work of each kind, alone.
constexpr std::array<OutstandingWork, 4> kEachKind = {
    {{.caller_connections = 1},
     {.requests = 1},
     {.peer_calls = 1},
     {.releases = 1}}};

}  // namespace

Test(shutdown_progress, nothing_is_left_waits_for_the_last_expected_request) {
  ShutdownFixture fixture;
  cr_assert(fixture.progress.Next(kStop, {}) == Step::kWait);
  cr_assert(fixture.progress.Next(kLastRequest - kQuiet, {}) == Step::kWait);
  cr_assert(fixture.progress.Next(kLastRequest, {}) == Step::kWait);
  cr_assert(fixture.progress.Next(kLastRequest + kQuiet, {}) == Step::kEnd);
}

// Guards against each kind of work being cut while there is grace left.
Test(shutdown_progress, work_of_any_kind_is_left_waits) {
  for (const OutstandingWork& work : kEachKind) {
    ShutdownFixture fixture;
    cr_assert(fixture.progress.Next(kLastRequest, {}) == Step::kWait);
    cr_assert(fixture.progress.Next(kLastRequest + kQuiet, work) ==
              Step::kWait);
    cr_assert(fixture.progress.Next(kEnd - milliseconds(1), work) ==
              Step::kWait);
  }
}

// Guards against a daemon that decides to end, and then takes more work.
Test(shutdown_progress, work_arrives_in_the_quiet_time_it_begins_again) {
  ShutdownFixture fixture;
  const TimePoint again = kLastRequest + kQuiet / 2;
  fixture.progress.Next(kLastRequest, {});
  cr_assert(fixture.progress.Next(again, {.requests = 1}) == Step::kWait);
  cr_assert(fixture.progress.Next(again + kQuiet, {}) == Step::kWait);
  cr_assert(fixture.progress.Next(again + 2 * kQuiet, {}) == Step::kEnd);
}

Test(shutdown_progress, grace_is_over_aborts_what_is_left) {
  for (const OutstandingWork& work : kEachKind) {
    ShutdownFixture fixture;
    cr_assert(fixture.progress.Next(kEnd, work) == Step::kAbort);
  }
  ShutdownFixture fixture;
  cr_assert(fixture.progress.Next(kEnd, {}) == Step::kEnd);
}
