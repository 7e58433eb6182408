#include "gentianroute/decision/pool_health.h"

#include "decision_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

namespace {

/// Fails every call as a refused connection for the given time.
void Refuse(Bench& bench, Duration length) {
  constexpr Duration kStep = milliseconds(50);
  std::size_t next = 0;
  for (Duration passed{0}; passed < length; passed += kStep) {
    for (; next < bench.starts.size(); ++next) {
      bench.Fail(bench.starts[next].attempt, AttemptFailure::kConnect);
    }
    bench.Advance(kStep);
  }
}

}  // namespace

// All servers of the second stage's pool refuse connections. The first request
// waits until its deadline. Later ones whose objective is cost are rejected at
// once as not run, before their first stage runs for nothing, except for a
// periodic probe. When the pool recovers, all requests are admitted.
Test(pool_health, new_request_to_an_unresponsive_pool_is_refused_at_once) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  bench.Submit(SubmissionOf("lookups", "first"));
  Refuse(bench, seconds(3));
  const RequestId probe = bench.Submit(SubmissionOf("cost_lookups", "probe"));
  const std::size_t before = bench.starts.size();
  const RequestId newcomer =
      bench.Submit(SubmissionOf("cost_lookups", "second"));
  cr_assert(bench.FinishOf(probe) == nullptr);
  cr_assert(bench.FinishOf(newcomer)->error == ErrorKind::kNoServer);
  cr_assert_eq(bench.starts.size(), before);
  const RequestId patient = bench.Submit(SubmissionOf("lookups", "fourth"));
  cr_assert(bench.FinishOf(patient) == nullptr);  // objective is attainment
  bench.Write(bench.starts.back().attempt);
  bench.Answer(bench.starts.back().attempt, "1");
  const RequestId later = bench.Submit(SubmissionOf("cost_lookups", "third"));
  cr_assert(bench.FinishOf(later) == nullptr);
}

// A rolling restart takes down all servers of a pool for a second. New requests
// must wait for the pool like earlier ones.
Test(pool_health, requests_wait_for_pool_that_is_down_for_a_second) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  bench.Submit(SubmissionOf("lookups", "first"));
  Refuse(bench, seconds(1));
  const RequestId one = bench.Submit(SubmissionOf("lookups", "second"));
  const RequestId two = bench.Submit(SubmissionOf("lookups", "third"));
  cr_assert(bench.FinishOf(one) == nullptr);
  cr_assert(bench.FinishOf(two) == nullptr);
}
