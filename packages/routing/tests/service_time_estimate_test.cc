#include "gentianroute/routing/service_time_estimate.h"

#include <criterion/criterion.h>

#include <array>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

/// Servers with a constant service time and prefill rate.
struct UniformServers {
  double work_ms = 80;
  double tokens_per_ms = 93;

  Duration TimeToFirstEvent(double prefill_tokens) const {
    return FromMilliseconds(work_ms + prefill_tokens / tokens_per_ms);
  }
  /// Trains with a typical mix of prompt sizes.
  void Train(ServiceTimeEstimate& estimate, int events) const {
    constexpr std::array kUnread = {800.0, 9000.0, 2900.0, 17000.0, 1100.0};
    for (int i = 0; i < events; ++i) {
      const double prefill_tokens = kUnread[static_cast<std::size_t>(i) % 5];
      estimate.OnFirstEvent(prefill_tokens, TimeToFirstEvent(prefill_tokens));
    }
  }
};

bool IsWithin(Duration value, Duration expected, double factor) {
  return Seconds(value) < Seconds(expected) * factor &&
         Seconds(value) > Seconds(expected) / factor;
}

}  // namespace

// A daemon sees a few first events per second, so forty take about ten seconds
// under normal load.
Test(service_time_estimate,
     speed_ten_times_slower_is_learned_from_forty_events) {
  const UniformServers slow{800, 5};
  ServiceTimeEstimate estimate;
  slow.Train(estimate, 40);
  cr_assert(IsWithin(estimate.TimeToFirstEvent(17000),
                     slow.TimeToFirstEvent(17000), 1.3));
  cr_assert(IsWithin(estimate.TimeToFirstEvent(500), slow.TimeToFirstEvent(500),
                     1.5));
}

Test(service_time_estimate,
     speed_ten_times_faster_is_learned_from_forty_events) {
  const UniformServers fast{5, 500};
  ServiceTimeEstimate estimate;
  fast.Train(estimate, 40);
  cr_assert(IsWithin(estimate.TimeToFirstEvent(17000),
                     fast.TimeToFirstEvent(17000), 1.5));
}

Test(service_time_estimate,
     one_outlier_changes_the_estimate_by_less_than_a_third) {
  const UniformServers usual;
  ServiceTimeEstimate estimate;
  usual.Train(estimate, 100);
  const Duration before = estimate.TimeToFirstEvent(9000);
  estimate.OnFirstEvent(9000, std::chrono::seconds(20));
  cr_assert(IsWithin(estimate.TimeToFirstEvent(9000), before, 1.33));
}

Test(service_time_estimate, plain_work_is_learned_apart_from_the_queue) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 40; ++i) {
    estimate.OnAnswer(1.0, 15 * kMs);
    estimate.OnAnswer(3.0, 45 * kMs);
  }
  cr_assert(IsWithin(estimate.ServiceTime(), 15 * kMs, 1.1));
}

Test(service_time_estimate, stream_time_and_decode_time_are_learned) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 40; ++i) {
    estimate.OnStreamEnd(100, 300 * kMs);
  }
  cr_assert(IsWithin(estimate.StreamTime(), 300 * kMs, 1.1));
  cr_assert(IsWithin(estimate.DecodeTime(50), 150 * kMs, 1.1));
}
