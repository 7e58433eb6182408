#include "gentianroute/routing/service_pace.h"

#include <criterion/criterion.h>

#include <array>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

/// Servers that need `work` and read `tokens_per_ms`, seen by one daemon.
struct UniformServers {
  double work_ms = 80;
  double tokens_per_ms = 93;

  Duration FirstEvent(double unread) const {
    return FromMilliseconds(work_ms + unread / tokens_per_ms);
  }
  /// Prompts of a usual mix, one after another.
  void Teach(ServicePace& pace, int events) const {
    constexpr std::array kUnread = {800.0, 9000.0, 2900.0, 17000.0, 1100.0};
    for (int i = 0; i < events; ++i) {
      const double unread = kUnread[static_cast<std::size_t>(i) % 5];
      pace.OnFirstEvent(unread, FirstEvent(unread));
    }
  }
};

bool IsWithin(Duration value, Duration wanted, double factor) {
  return Seconds(value) < Seconds(wanted) * factor &&
         Seconds(value) > Seconds(wanted) / factor;
}

}  // namespace

// A daemon sees a few first events a second, so forty are some ten seconds of
// one daemon's usual load.
Test(service_pace, pace_ten_times_slower_is_learnt_from_forty_events) {
  const UniformServers slow{800, 5};
  ServicePace pace;
  slow.Teach(pace, 40);
  cr_assert(IsWithin(pace.FirstEvent(17000), slow.FirstEvent(17000), 1.3));
  cr_assert(IsWithin(pace.FirstEvent(500), slow.FirstEvent(500), 1.5));
}

Test(service_pace, pace_ten_times_faster_is_learnt_from_forty_events) {
  const UniformServers fast{5, 500};
  ServicePace pace;
  fast.Teach(pace, 40);
  cr_assert(IsWithin(pace.FirstEvent(17000), fast.FirstEvent(17000), 1.5));
}

Test(service_pace, one_odd_answer_moves_it_by_less_than_a_third) {
  const UniformServers usual;
  ServicePace pace;
  usual.Teach(pace, 100);
  const Duration before = pace.FirstEvent(9000);
  pace.OnFirstEvent(9000, std::chrono::seconds(20));
  cr_assert(IsWithin(pace.FirstEvent(9000), before, 1.33));
}

Test(service_pace, plain_work_is_learnt_apart_from_the_queue) {
  ServicePace pace;
  for (int i = 0; i < 40; ++i) {
    pace.OnAnswer(1.0, 15 * kMs);
    pace.OnAnswer(3.0, 45 * kMs);
  }
  cr_assert(IsWithin(pace.Work(), 15 * kMs, 1.1));
}

Test(service_pace, run_and_steps_are_learnt) {
  ServicePace pace;
  for (int i = 0; i < 40; ++i) {
    pace.OnRun(100, 300 * kMs);
  }
  cr_assert(IsWithin(pace.Run(), 300 * kMs, 1.1));
  cr_assert(IsWithin(pace.Making(50), 150 * kMs, 1.1));
}
