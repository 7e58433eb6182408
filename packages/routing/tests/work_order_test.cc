#include "gentianroute/routing/work_order.h"

#include <criterion/criterion.h>

#include <vector>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

/// Work queued for one server.
struct QueueFixture {
  std::vector<WaitingWork> waiting;

  std::uint64_t Add(Duration due_in,
                    Duration server_time,
                    double value = 1,
                    TimePoint submitted_at = kStart) {
    const std::uint64_t id = waiting.size() + 1;
    waiting.push_back({id, submitted_at, kStart + due_in, server_time,
                       /*min_duration=*/server_time, value});
    return id;
  }
  std::vector<std::uint64_t> Order(std::size_t servers = 1,
                                   Duration busy = Duration{0}) const {
    std::vector<std::uint64_t> ids;
    for (const WaitingWork& work : OrderWork(kStart, waiting, busy, servers)) {
      ids.push_back(work.id);
    }
    return ids;
  }
  /// Value done on time if one server runs the work in order.
  double ValueOnTime() const {
    double value = 0;
    TimePoint now = kStart;
    for (const WaitingWork& work : OrderWork(kStart, waiting, Duration{0}, 1)) {
      now += work.server_time;
      value += now <= work.soft_deadline ? work.value : 0.0;
    }
    return value;
  }
};

}  // namespace

Test(work_order, feasible_work_runs_by_earliest_deadline) {
  QueueFixture fixture;
  const auto later = fixture.Add(900 * kMs, 100 * kMs, 100);
  const auto sooner = fixture.Add(400 * kMs, 100 * kMs, 1);
  const std::vector<std::uint64_t> expected = {sooner, later};
  cr_assert(fixture.Order() == expected);
}

// Overload: twice as much work is due at once as the server can do. With
// earliest deadline first alone, all of it would be late.
Test(work_order, overload_keeps_half_of_the_work_on_time) {
  QueueFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Add((500 + i) * kMs, 50 * kMs);
  }
  cr_assert_geq(fixture.ValueOnTime(), 9);
}

// Overload: cheap requests of low value compete with urgent ones of high value.
Test(work_order, work_of_lower_value_density_is_displaced) {
  QueueFixture fixture;
  const auto cheap = fixture.Add(200 * kMs, 100 * kMs, 0.1);
  const auto dear = fixture.Add(210 * kMs, 150 * kMs, 1.0);
  const std::vector<std::uint64_t> expected = {dear, cheap};
  cr_assert(fixture.Order() == expected);
}

// A request of low value that needs very little server time has a higher value
// density than a large one.
Test(work_order, small_work_is_judged_by_value_density) {
  QueueFixture fixture;
  const auto large = fixture.Add(200 * kMs, 190 * kMs, 1.0);
  const auto small = fixture.Add(205 * kMs, 20 * kMs, 0.3);
  const std::vector<std::uint64_t> expected = {small, large};
  cr_assert(fixture.Order() == expected);
}

Test(work_order, late_work_of_higher_value_runs_after_work_on_time) {
  QueueFixture fixture;
  const auto late = fixture.Add(-100 * kMs, 50 * kMs, 9.0);
  const auto timely = fixture.Add(500 * kMs, 50 * kMs, 1.0);
  const std::vector<std::uint64_t> expected = {timely, late};
  cr_assert(fixture.Order() == expected);
}

// No starvation: the value density of late work grows with its time in the
// queue.
Test(work_order, late_work_gains_priority_with_its_wait) {
  QueueFixture fixture;
  const auto fresh = fixture.Add(-100 * kMs, 50 * kMs, 9.0);
  const auto old =
      fixture.Add(-100 * kMs, 50 * kMs, 1.0, kStart - std::chrono::seconds(4));
  const std::vector<std::uint64_t> expected = {old, fresh};
  cr_assert(fixture.Order() == expected);
}

Test(work_order, more_servers_keep_more_work_on_time) {
  QueueFixture fixture;
  fixture.Add(110 * kMs, 100 * kMs, 1.0);
  const auto second = fixture.Add(111 * kMs, 100 * kMs, 1.0);
  fixture.Add(500 * kMs, 100 * kMs, 1.0);
  cr_assert_eq(fixture.Order(2)[1], second);
  cr_assert_neq(fixture.Order(1)[1], second);
}

Test(work_order, busy_servers_leave_less_time) {
  QueueFixture fixture;
  const auto first = fixture.Add(150 * kMs, 100 * kMs, 1.0);
  const auto later = fixture.Add(900 * kMs, 100 * kMs, 1.0);
  cr_assert_eq(fixture.Order(1, 0 * kMs)[0], first);
  cr_assert_eq(fixture.Order(1, 200 * kMs)[0], later);
}

// The load: results of a burst use up the storage of a pool whose servers have
// time. Work that needs none must not be late with the work that does.
Test(work_order, storage_is_scarce_only_work_that_needs_it_is_late) {
  QueueFixture queue;
  for (int i = 0; i < 3; ++i) {
    queue.Add(420 * kMs, 50 * kMs);
    queue.waiting.back().storage_time = 200 * kMs;
  }
  queue.Add(600 * kMs, 50 * kMs);
  const auto order = OrderWork(kStart, queue.waiting, Duration{0}, 1);
  std::size_t late = 0;
  for (const WaitingWork& work : order) {
    late += work.is_late ? 1 : 0;
  }
  cr_assert_eq(late, 1);
  cr_assert(order.back().is_late);
  cr_assert_gt(order.back().storage_time.count(), 0);
}
