#include <cmath>

#include "gentianroute/observe/service_level.h"

#include <criterion/criterion.h>

namespace {

using gentianroute::Attainment;
using gentianroute::CountsForServiceLevel;
using gentianroute::ErrorKind;
using gentianroute::ServiceLevels;
using gentianroute::TimePoint;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

TimePoint At(gentianroute::Duration since_start) {
  return TimePoint{} + since_start;
}

}  // namespace

Test(service_level, burn_rate_is_the_share_of_failures_over_the_budget) {
  const Attainment half_of_budget{1000, 975};
  cr_expect(std::abs(half_of_budget.BurnRate(0.95) - 0.5) < 1e-9);
  cr_expect_eq(Attainment{}.BurnRate(0.95), 0);
  cr_expect_eq((Attainment{10, 10}).BurnRate(1), 0);
  cr_expect(std::isfinite((Attainment{10, 0}).BurnRate(1)));
}

Test(service_level, caller_errors_do_not_count) {
  cr_expect(!CountsForServiceLevel(ErrorKind::kMalformedRequest));
  cr_expect(!CountsForServiceLevel(ErrorKind::kKeyConflict));
  cr_expect(CountsForServiceLevel(ErrorKind::kOverloaded));
  cr_expect(CountsForServiceLevel(ErrorKind::kDeadlineExceeded));
  cr_expect(CountsForServiceLevel(std::nullopt));
}

// Ten requests fail during a short outage. Each window must show the failures
// until its own length has passed, and a reused slot of the ring must not count
// its previous content.
Test(service_level, failures_expire_from_each_window_after_its_length) {
  ServiceLevels levels;
  for (int i = 0; i < 10; ++i) {
    levels.Observe(At(seconds(i)), "drafts", false);
  }
  struct Row {
    gentianroute::Duration at;
    std::uint64_t totals[4];
  };
  const Row rows[] = {{minutes(1), {10, 10, 10, 10}},
                      {minutes(6), {0, 10, 10, 10}},
                      {minutes(61), {0, 0, 10, 10}},
                      {hours(7), {0, 0, 0, 10}},
                      {hours(73), {0, 0, 0, 0}}};
  for (const Row& row : rows) {
    const ServiceLevels::Service service = levels.Report(At(row.at)).at(0);
    for (std::size_t i = 0; i < 4; ++i) {
      cr_expect_eq(service.windows[i].total, row.totals[i], "window %zu", i);
    }
    cr_expect_eq(service.since_start.total, 10U);
  }
  levels.Observe(At(hours(72)), "drafts", true);
  const auto again = levels.Report(At(hours(72))).at(0);
  cr_expect_eq(again.windows[0].total, 1U);
  cr_expect_eq(again.windows[3].total, 1U);
}

// When a host is replaced, the next process of that name continues from the
// saved history. The long windows show the sum of both processes without slots
// that have expired; invalid text changes nothing.
Test(service_level_history, import_adds_the_history_of_the_previous_process) {
  ServiceLevels first;
  first.Observe(At(hours(1)), "drafts", false);
  first.Observe(At(hours(80)), "drafts", true);
  ServiceLevels second;
  second.Observe(At(hours(81)), "drafts", true);
  cr_assert(second.Import(At(hours(81)), first.Export()));
  const auto report = second.Report(At(hours(81)));
  cr_assert_eq(report.at(0).windows[0].total, 1U);  // 5 minutes
  cr_assert_eq(report.at(0).windows[3].total, 2U);  // 3 days
  cr_assert_eq(report.at(0).windows[3].attained, 2U);
  cr_assert_not(second.Import(At(hours(81)), R"({"drafts":[["x"]]})"));
  cr_assert_eq(second.Report(At(hours(81))).at(0).windows[3].total, 2U);
}
