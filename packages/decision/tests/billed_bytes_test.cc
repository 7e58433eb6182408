#include "gentianroute/decision/coordinator.h"

#include "decision_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

namespace {

HostRecord FarHost(const std::string& name, const std::string& pool) {
  HostRecord host = HostOf(name, pool);
  host.region = "far";
  host.data_centre = "far-1";
  return host;
}

void Answer(Bench& bench, AttemptId attempt, int status, std::uint64_t bytes) {
  AttemptAnswer answer;
  answer.attempt = attempt;
  answer.echoed = attempt;
  answer.status = status;
  answer.body = "1";
  answer.received = bytes;
  bench.coordinator().OnAnswer(bench.now, std::move(answer));
  bench.TakeActions();
}

}  // namespace

// The first call fails with a body of 30 bytes, the second is answered with 100
// bytes. Both go to another region, so the bytes sent and received by both are
// billed.
Test(billed_bytes, every_call_to_another_region_counts_both_ways) {
  Bench bench({FarHost("e1", "encode"), FarHost("e2", "encode")});
  const RequestId id = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(0).attempt);
  Answer(bench, bench.starts.at(0).attempt, 500, 30);
  bench.Write(bench.starts.at(1).attempt);
  Answer(bench, bench.starts.at(1).attempt, 200, 100);
  const std::size_t sent =
      bench.starts.at(0).input.size() + bench.starts.at(1).input.size();
  cr_assert_eq(bench.FinishOf(id)->stages.at(0).billed_bytes, sent + 130);
}

Test(billed_bytes, stream_from_another_region_counts_while_near_stage_is_free) {
  Bench bench({HostOf("e1", "encode"), FarHost("g1", "generate")});
  const RequestId id = bench.Submit(SubmissionOf("letters", "x"));
  bench.Write(bench.starts.at(0).attempt);
  Answer(bench, bench.starts.at(0).attempt, 200, 100);
  const AttemptId stream = bench.starts.at(1).attempt;
  bench.Write(stream);
  bench.coordinator().OnChunk(bench.now, {stream, stream, 0, "a", 40});
  Answer(bench, stream, 200, 20);
  const auto& stages = bench.FinishOf(id)->stages;
  cr_assert_eq(stages.at(0).billed_bytes, 0U);
  cr_assert_eq(stages.at(1).billed_bytes, bench.starts.at(1).input.size() + 60);
}

// Nothing was written before the connection failed, so nothing is billed.
Test(billed_bytes, call_without_a_connection_counts_nothing) {
  Bench bench({FarHost("e1", "encode"), FarHost("e2", "encode")});
  const RequestId id = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kConnect);
  bench.Write(bench.starts.at(1).attempt);
  Answer(bench, bench.starts.at(1).attempt, 200, 10);
  cr_assert_eq(bench.FinishOf(id)->stages.at(0).billed_bytes,
               bench.starts.at(1).input.size() + 10);
}
