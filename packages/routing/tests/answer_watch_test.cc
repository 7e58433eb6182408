#include "gentianroute/routing/answer_watch.h"

#include <criterion/criterion.h>

#include "gentianroute/routing/service_time_estimate.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

Route StreamRoute() {
  Route route;
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.target = 1300 * kMs;
  route.pause_target = 250 * kMs;
  route.timeout = 8000 * kMs;
  return route;
}

ServiceTimeEstimate EstimateOf(double work_ms, double tokens_per_ms) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 200; ++i) {
    const double unread = i % 2 == 0 ? 1000 : 20000;
    estimate.OnFirstEvent(unread,
                          FromMilliseconds(work_ms + unread / tokens_per_ms));
  }
  return estimate;
}

}  // namespace

// The prefill of a long prompt takes longer than half of the target on a
// healthy server. At another server it would start again, and the answer would
// come later.
Test(answer_watch, long_prefill_is_not_overdue) {
  const ServiceTimeEstimate estimate = EstimateOf(80, 93);
  const Duration prefill_time = estimate.TimeToFirstEvent(90'000);
  cr_assert_gt(prefill_time, StreamRoute().target / 2);
  cr_assert_gt(FirstByteOverdueAfter(StreamRoute(), prefill_time),
               prefill_time * 2);
}

// The server is unreachable and sends nothing on any connection. The request
// must move on while its caller still waits, and the server must be avoided.
Test(answer_watch, unreachable_server_is_detected_in_time_and_avoided) {
  const ServiceTimeEstimate estimate = EstimateOf(80, 93);
  const Route route = StreamRoute();
  const Duration wait =
      FirstByteOverdueAfter(route, estimate.TimeToFirstEvent(17'000));
  cr_assert_lt(wait, route.FirstByteTimeout() / 2);
  const ServerPtr server = MakeServer("unreachable");
  RecordOverdue(kStart + wait, kStart, *server);
  cr_assert(server->history().IsAvoided(kStart + wait));
}

// The server runs at a fifth of its speed but streams to other callers. Overdue
// requests move on, but the server stays in use and its other requests are not
// aborted.
Test(answer_watch, slowed_server_loses_overdue_requests_but_stays_in_use) {
  const ServiceTimeEstimate estimate = EstimateOf(80, 93);
  const Duration expected = estimate.TimeToFirstEvent(17'000);
  const Duration wait = FirstByteOverdueAfter(StreamRoute(), expected);
  cr_assert_lt(wait, expected * 5);
  const ServerPtr server = MakeServer("slow");
  server->OnBytesReceived(kStart + 10 * kMs);
  RecordOverdue(kStart + wait, kStart, *server);
  cr_assert_not(server->history().IsAvoided(kStart + wait));
  cr_assert_gt(server->history().Slowness(kStart + wait), 1.0);
}

// A plain call of 15 ms is not repeated as soon as it queues: it can still be
// on time until half of its target has passed.
Test(answer_watch, short_call_waits_for_half_of_its_target) {
  Route route;
  route.target = 200 * kMs;
  cr_assert_eq(FirstByteOverdueAfter(route, 15 * kMs), 100 * kMs);
}

Test(answer_watch, stream_may_pause_but_not_stay_silent) {
  Route route = StreamRoute();
  cr_assert_eq(StreamSilenceTimeout(route), 1000 * kMs);
  route.pause_target = 400 * kMs;
  cr_assert_eq(StreamSilenceTimeout(route), 1600 * kMs);
  cr_assert_lt(StreamSilenceTimeout(route), route.FirstByteTimeout());
}
