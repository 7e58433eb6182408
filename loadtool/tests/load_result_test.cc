#include "load_result.h"

#include <string>

#include <criterion/criterion.h>

using gentianroute::Duration;
using gentianroute::load::LoadResult;
using gentianroute::load::ParseServerTiming;
using gentianroute::load::Quantile;
using gentianroute::load::RequestOutcome;

Test(load_result, server_timing_of_two_stages_gives_time_and_cost_of_each) {
  const auto stages = ParseServerTiming(
      "encode;dur=5.5;desc=\"cost_micros=5 attempts=1\", "
      "generate;dur=34;desc=\"cost_micros=32 attempts=2\"");
  cr_assert_eq(stages.size(), 2U);
  cr_assert(stages[0].stage == "encode");
  cr_assert_float_eq(stages[0].milliseconds, 5.5, 1e-9);
  cr_assert_eq(stages[1].cost_micros, 32);
}

Test(load_result, quantile_by_nearest_rank_takes_a_value_that_occurred) {
  cr_assert_float_eq(Quantile({4, 1, 3, 2}, 0.5), 2, 1e-9);
  cr_assert_float_eq(Quantile({4, 1, 3, 2}, 1.0), 4, 1e-9);
  cr_assert_float_eq(Quantile({}, 0.5), 0, 1e-9);
}

Test(load_result, refused_and_late_requests_count_against_attainment) {
  LoadResult result;
  RequestOutcome in_time{.service = "s", .status = 200, .attained = true};
  in_time.latency = Duration(1000);
  RequestOutcome late{.service = "s", .status = 200};
  late.latency = Duration(9'000'000);
  const RequestOutcome refused{
      .service = "s", .status = 503, .error_kind = "overloaded"};
  const RequestOutcome lost{.service = "s"};
  for (const RequestOutcome& outcome : {in_time, late, refused, lost}) {
    result.Add(outcome);
  }
  const auto service = result.ToJson().at("services").at("s");
  cr_assert_float_eq(service.at("attainment").get<double>(), 0.25, 1e-9);
  cr_assert_eq(service.at("errors").at("overloaded").get<int>(), 1);
  cr_assert_eq(service.at("errors").at("no_answer").get<int>(), 1);
}
