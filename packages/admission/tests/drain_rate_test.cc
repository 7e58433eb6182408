#include "gentianroute/admission/drain_rate.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using gentianroute::admission::DrainRate;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr TimePoint kStart = TimePoint{} + std::chrono::seconds(10);

/// A queue from which the same amount is taken in each step.
struct DrainRateFixture {
  DrainRate rate;
  TimePoint now = kStart;

  void Take(double amount, bool waits, int steps) {
    for (int i = 0; i < steps; ++i) {
      rate.OnTaken(now, amount, waits);
      now += kStep;
    }
  }
};

bool IsNear(double value, double expected) {
  return std::abs(value - expected) < 0.1 * expected;
}

}  // namespace

TestSuite(drain_rate);

Test(drain_rate, nothing_observed_rate_is_the_expected_one) {
  DrainRateFixture fixture;
  cr_assert_eq(fixture.rate.PerSecond(kStart, 3.0), 3.0);
}

Test(drain_rate, queue_drains_at_half_speed_rate_is_learned_in_two_seconds) {
  DrainRateFixture fixture;
  fixture.Take(0.1, true, 20);
  cr_assert(IsNear(fixture.rate.PerSecond(fixture.now, 1.2), 1.0));
}

// Guards against light demand that is taken for little capacity.
Test(drain_rate, work_that_never_waits_teaches_nothing) {
  DrainRateFixture fixture;
  fixture.Take(0.01, false, 50);
  cr_assert(IsNear(fixture.rate.PerSecond(fixture.now, 3.0), 3.0));
}

Test(drain_rate, servers_slow_down_rate_follows_within_two_seconds) {
  DrainRateFixture fixture;
  fixture.Take(0.2, true, 30);
  fixture.Take(0.1, true, 20);
  cr_assert_lt(fixture.rate.PerSecond(fixture.now, 2.0), 1.4);
}

// Guards against an estimate from a burst that is long over.
Test(drain_rate, observations_fade_rate_returns_to_the_expected_one) {
  DrainRateFixture fixture;
  fixture.Take(0.02, true, 30);
  fixture.Take(0.0, false, 1);
  fixture.now += std::chrono::seconds(10);
  cr_assert(IsNear(fixture.rate.PerSecond(fixture.now, 2.0), 2.0));
}

Test(drain_rate, nothing_is_taken_while_work_waits_rate_falls_toward_zero) {
  DrainRateFixture fixture;
  fixture.Take(0.0, true, 30);
  cr_assert_lt(fixture.rate.PerSecond(fixture.now, 2.0), 0.5);
}
