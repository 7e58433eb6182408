#include "gentianroute/routing/drain_times.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

const DrainTimes kDrain{kStart + 2600 * kMs, kStart + 7600 * kMs};
constexpr bool kMayBeCut = true;

}  // namespace

Test(drain_times, daemon_that_runs_takes_every_request) {
  cr_assert(DrainTimes().CanAccept(kStart, {std::chrono::hours(1)}));
}

Test(drain_times, requests_that_the_balancer_still_sends_are_taken) {
  cr_assert(kDrain.CanAccept(kStart + 2500 * kMs, {std::chrono::seconds(9)}));
}

// A chat request arrives on an open connection 4.5 s after the stop signal. Its
// answer may take longer than the 3 s until the process ends, so it would be
// cut; it is refused, and another daemon can serve it in full.
Test(drain_times, late_request_that_may_outlast_the_daemon_is_refused) {
  cr_assert_not(
      kDrain.CanAccept(kStart + 4600 * kMs, {2900 * kMs, kNever, kMayBeCut}));
}

Test(drain_times,
     late_request_that_usually_ends_soon_is_taken_if_cut_unharmed) {
  cr_assert(
      kDrain.CanAccept(kStart + 4600 * kMs, {50 * kMs, kNever, kMayBeCut}));
}

// Guards against a cut of what may not be repeated, or of a stream, at a server
// that is slower than usual.
Test(drain_times, late_request_that_may_not_be_cut_must_end_by_its_deadline) {
  const TimePoint now = kStart + 4600 * kMs;
  cr_assert_not(kDrain.CanAccept(now, {50 * kMs, kNever}));
  cr_assert_not(kDrain.CanAccept(now, {50 * kMs, kDrain.ends_at + kMs}));
  cr_assert(kDrain.CanAccept(now, {50 * kMs, kDrain.ends_at}));
}

Test(drain_times, late_request_whose_deadline_comes_first_is_taken) {
  const TimePoint now = kStart + 4600 * kMs;
  cr_assert(kDrain.CanAccept(now, {2900 * kMs, kDrain.ends_at, kMayBeCut}));
}

// Guards against a request that has waited since before the stop being sent in
// the last moments, and one that can be answered being refused.
Test(drain_times, accepted_request_is_sent_if_it_usually_ends_in_time) {
  const TimePoint now = kStart + 4600 * kMs;
  cr_assert(kDrain.CanSend(now, {50 * kMs, kNever}));
  cr_assert(kDrain.CanSend(now, {2900 * kMs, kDrain.ends_at}));
  cr_assert_not(kDrain.CanSend(now, {2900 * kMs, kNever}));
}
