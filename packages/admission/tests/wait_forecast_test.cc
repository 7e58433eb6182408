#include "gentianroute/admission/wait_forecast.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace gentianroute;
using namespace gentianroute::admission;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr TimePoint kStart = TimePoint{} + std::chrono::seconds(10);
constexpr ServerGroup kTwoServers = {2, 80e6};

/// A queue that has drained at a constant rate for three seconds.
struct ForecastFixture {
  LearnedForecast forecast;
  TimePoint now = kStart;

  void Drain(const QueuedWork& per_step, const QueuedWork& left) {
    constexpr int kSteps = 30;
    for (int i = 0; i < kSteps; ++i) {
      forecast.OnDispatch(now, per_step, left);
      now += 100 * kMs;
    }
  }
  Duration WaitBehind(const QueuedWork& ahead,
                      const ResourceNeed& own,
                      bool is_on_time = true) const {
    return forecast.WaitBehind(now, ahead, own, is_on_time, kTwoServers);
  }
};

const ResourceNeed kSmall = {50 * kMs, 0};
const ResourceNeed kLarge = {50 * kMs, 6e6};

}  // namespace

TestSuite(wait_forecast);

Test(wait_forecast, nothing_observed_servers_work_at_full_speed) {
  ForecastFixture fixture;
  cr_assert_eq(fixture.WaitBehind({{4000 * kMs, 0}, {}}, kSmall).count(),
               Duration(2000 * kMs).count());
}

Test(wait_forecast, full_calls_assumed_wait_is_shared_by_the_servers) {
  const FullCallsForecast forecast;
  cr_assert(forecast.WaitBehind(kStart, {{4000 * kMs, 9e9}, {}}, kLarge, false,
                                kTwoServers) == 2000 * kMs);
}

// The load: calls are half empty, so that the queue drains at half speed.
Test(wait_forecast, queue_drains_at_half_speed_wait_doubles) {
  ForecastFixture fixture;
  fixture.Drain({{100 * kMs, 0}, {}}, {{1000 * kMs, 0}, {}});
  const Duration wait = fixture.WaitBehind({{2000 * kMs, 0}, {}}, kSmall);
  cr_assert_geq(wait.count(), Duration(1600 * kMs).count());
}

// The load: the results of a burst use up the storage, while the servers have
// time. Work with large results waits for storage, other work does not.
Test(wait_forecast, storage_is_used_up_only_large_results_wait_for_it) {
  ForecastFixture fixture;
  fixture.Drain({{200 * kMs, 1e6}, {}}, {{1000 * kMs, 60e6}, {}});
  const QueuedWork ahead = {{400 * kMs, 60e6}, {}};
  cr_assert_gt(fixture.WaitBehind(ahead, kLarge).count(),
               Duration(2000 * kMs).count());
  cr_assert_lt(fixture.WaitBehind(ahead, kSmall).count(),
               Duration(500 * kMs).count());
}

// The load: work that can be on time takes all servers, so that late work does
// not move. It would wait until its deadline.
Test(wait_forecast, late_work_does_not_move_its_wait_is_longer_than_any_limit) {
  ForecastFixture fixture;
  fixture.Drain({{200 * kMs, 0}, {}}, {{500 * kMs, 0}, {500 * kMs, 0}});
  const QueuedWork ahead = {{500 * kMs, 0}, {500 * kMs, 0}};
  cr_assert_lt(fixture.WaitBehind(ahead, kSmall).count(),
               Duration(1000 * kMs).count());
  cr_assert_gt(fixture.WaitBehind(ahead, kSmall, false).count(),
               Duration(1500 * kMs).count());
}

Test(wait_forecast, late_work_moves_its_wait_is_as_long_as_it_takes) {
  ForecastFixture fixture;
  fixture.Drain({{100 * kMs, 0}, {100 * kMs, 0}},
                {{500 * kMs, 0}, {500 * kMs, 0}});
  const Duration wait =
      fixture.WaitBehind({{}, {1000 * kMs, 0}}, kSmall, false);
  cr_assert_lt(wait.count(), Duration(1200 * kMs).count());
}

// Guards against callers that are refused after a burst because none could be
// served late while it lasted.
Test(wait_forecast, burst_is_over_late_work_is_let_in_again) {
  ForecastFixture fixture;
  fixture.Drain({{200 * kMs, 0}, {}}, {{500 * kMs, 0}, {500 * kMs, 0}});
  fixture.forecast.OnDispatch(fixture.now, {}, {});
  fixture.now += std::chrono::seconds(3);
  const QueuedWork ahead = {{500 * kMs, 0}, {500 * kMs, 0}};
  cr_assert_lt(fixture.WaitBehind(ahead, kSmall, false).count(),
               Duration(1000 * kMs).count());
}

Test(wait_forecast, wait_is_finite_and_grows_with_the_work_ahead) {
  const bool holds = rc::check("more work ahead never shortens the wait", [] {
    const auto need = [] {
      return ResourceNeed{*rc::gen::inRange(0, 3000) * kMs,
                          1e3 * *rc::gen::inRange(0, 9000)};
    };
    ForecastFixture fixture;
    fixture.Drain({need(), need()}, {need(), need()});
    const QueuedWork less = {need(), need()};
    const QueuedWork more = {less.on_time + need(), less.yielding + need()};
    for (const bool is_on_time : {false, true}) {
      const Duration shorter = fixture.WaitBehind(less, kLarge, is_on_time);
      const Duration longer = fixture.WaitBehind(more, kLarge, is_on_time);
      RC_ASSERT(shorter >= Duration{0});
      RC_ASSERT(shorter <= longer);
      RC_ASSERT(longer <= WaitForecast::kNever);
    }
  });
  cr_assert(holds);
}
