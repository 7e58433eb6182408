#include "gentianroute/routing/request_limit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "gentianroute/routing/sender_share.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kBegin = TimePoint{} + seconds(100);

struct RequestLimitFixture : PlacementFixture {
  ServerPtr server = MakeServer("a");
  RequestLimit& limit = server->request_limit();

  bool IsAccepted(TimePoint now) const {
    return placement.Check(now, *server) == PlacementVerdict::kAccepted;
  }
};

}  // namespace

TestSuite(request_limit);

// Guards against an answer from before the limit ending it.
Test(request_limit, answer_to_an_earlier_request_does_not_end_it) {
  RequestLimitFixture fixture;
  fixture.limit.OnAnswer(kBegin, kBegin - seconds(1), 2.0);
  cr_assert_not(fixture.limit.OnAnswer(kBegin + milliseconds(5),
                                       kBegin - seconds(1), std::nullopt));
  cr_assert(fixture.limit.rate().has_value());
  cr_assert(fixture.limit.OnAnswer(kBegin + seconds(2), kBegin + seconds(1),
                                   std::nullopt));
  cr_assert_not(fixture.limit.rate().has_value());
}

// Guards against a peer's old heartbeat bringing back a limit that has ended.
Test(request_limit, older_report_of_a_peer_is_ignored) {
  RequestLimitFixture fixture;
  fixture.limit.OnPeerReport(kBegin, {2.0, seconds(0)});
  fixture.limit.OnPeerReport(kBegin + seconds(2), {std::nullopt, seconds(1)});
  cr_assert_not(
      fixture.limit.OnPeerReport(kBegin + seconds(2), {2.0, seconds(2)}));
  cr_assert_not(fixture.limit.rate().has_value());
}

// Guards against two daemons telling each other the same for ever.
Test(request_limit, what_a_peer_said_is_not_reported) {
  RequestLimitFixture fixture;
  fixture.limit.OnPeerReport(kBegin, {2.0, seconds(0)});
  cr_assert_not(fixture.limit.Report(kBegin).has_value());
  fixture.limit.OnAnswer(kBegin, kBegin, 2.0);
  cr_assert_float_eq(*fixture.limit.Report(kBegin)->value, 2.0, 1e-9);
}

Test(request_limit, end_is_reported_for_some_time) {
  RequestLimitFixture fixture;
  fixture.limit.OnAnswer(kBegin, kBegin, 2.0);
  fixture.limit.OnAnswer(kBegin + seconds(1), kBegin + seconds(1),
                         std::nullopt);
  cr_assert(fixture.limit.Report(kBegin + seconds(2)).has_value());
  cr_assert_not(
      fixture.limit.Report(kBegin + seconds(1) + NamedValue::kEndReportTime)
          .has_value());
}

// Guards against a daemon that isn't a sender of a limited server using it.
Test(request_limit, other_daemons_are_senders_server_is_not_chosen) {
  RequestLimitFixture fixture;
  fixture.senders.is_sender = false;
  cr_assert(fixture.IsAccepted(kBegin));
  fixture.limit.OnPeerReport(kBegin, {100.0, seconds(0)});
  cr_assert_not(fixture.IsAccepted(kBegin + seconds(60)));
}

// Guards against a server that takes no requests for a time being asked as
// often as others, or never again.
Test(request_limit, limit_of_zero_is_probed_rarely) {
  RequestLimitFixture fixture;
  fixture.limit.OnAnswer(kBegin, kBegin, 0.0);
  cr_assert_not(fixture.IsAccepted(kBegin + seconds(10)));
  cr_assert(fixture.IsAccepted(kBegin + seconds(30)));
}

// Guards against shares whose sum exceeds the bound of a window, with two sets
// of senders at the same time.
Test(request_limit, shares_of_any_rate_stay_within_the_bound) {
  for (double rate = 0.1; rate < 200; rate *= 1.3) {
    const SenderShare share = SenderShare::Of(rate, kLimitTolerance);
    const double window = Seconds(kLimitTolerance.window);
    const double of_one = std::floor(window / Seconds(share.interval)) + 1;
    const double bound =
        rate * window * kLimitTolerance.overshoot + kLimitTolerance.slack;
    cr_assert_leq(2 * of_one * static_cast<double>(share.senders), bound,
                  "rate %f", rate);
    // At least half of what the server takes.
    cr_assert_geq(static_cast<double>(share.senders) / Seconds(share.interval),
                  rate / 2, "rate %f", rate);
  }
}
