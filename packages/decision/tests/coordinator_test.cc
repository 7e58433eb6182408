#include "gentianroute/decision/coordinator.h"

#include "decision_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

// Results reach only their own request, complete.

// The connection first delivers the answer of another request. That answer must
// fail the attempt and close the connection, and the caller must get the answer
// of the retry. Late and duplicate answers are ignored.
Test(coordinator, crossed_then_late_answer_never_reaches_the_caller) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  const RequestId id = bench.Submit(SubmissionOf("lookups", "mine"));
  const AttemptId first = bench.starts.at(0).attempt;
  bench.Write(first);
  AttemptAnswer crossed;
  crossed.attempt = first;
  crossed.echoed = {first.value + 100};
  crossed.status = 200;
  crossed.body = "\"another family's letter\"";
  bench.coordinator().OnAnswer(bench.now, crossed);
  bench.TakeActions();
  cr_assert(bench.FinishOf(id) == nullptr);
  cr_assert(bench.cancels.at(0).close_idle_connections);
  const AttemptId second = bench.starts.at(1).attempt;
  bench.Answer(first, "\"late\"");
  bench.Answer(second, "\"mine\"");
  bench.Answer(second, "\"twice\"");
  cr_assert_eq(bench.finishes.size(), 1U);
  cr_assert(bench.FinishOf(id)->body == "\"mine\"");
}

// The stream breaks after two tokens, and another server resumes at an earlier
// token than requested. Tokens already received must be dropped.
Test(coordinator, stream_resumed_early_has_each_token_once) {
  Bench bench({HostOf("e1", "encode"), HostOf("g1", "generate"),
               HostOf("g2", "generate")});
  Submission submission = SubmissionOf("letters", "x");
  submission.wants_stream = true;
  const RequestId id = bench.Submit(std::move(submission));
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  const AttemptId first = bench.starts.at(1).attempt;
  bench.Write(first);
  bench.Chunk(first, 0, "a");
  bench.Chunk(first, 1, "b");
  bench.Fail(first, AttemptFailure::kTruncated);
  cr_assert_eq(bench.starts.at(2).resume_offset, 2U);
  const AttemptId second = bench.starts.at(2).attempt;
  bench.Write(second);
  bench.Chunk(second, 1, "b");
  bench.Chunk(second, 2, "c");
  bench.Answer(second, "");
  cr_assert(bench.streamed == "abc");
  cr_assert(bench.FinishOf(id)->body == "\"abc\"");
}

// A stream skips a token. The attempt must fail before any token after the gap
// is accepted, and the next server must resume at the missing token.
Test(coordinator, stream_with_a_gap_is_resumed_before_the_gap) {
  Bench bench({HostOf("e1", "encode"), HostOf("g1", "generate"),
               HostOf("g2", "generate")});
  const RequestId id = bench.Submit(SubmissionOf("letters", "x"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  const AttemptId first = bench.starts.at(1).attempt;
  bench.Write(first);
  bench.Chunk(first, 0, "a");
  bench.Chunk(first, 2, "c");
  cr_assert(bench.FinishOf(id) == nullptr);
  const AttemptId second = bench.starts.at(2).attempt;
  bench.Write(second);
  bench.Chunk(second, 1, "b");
  bench.Chunk(second, 2, "c");
  bench.Answer(second, "");
  cr_assert(bench.FinishOf(id)->body == "\"abc\"");
}

// Both attempts of a hedge stream. The one with the first token is kept and the
// other cancelled; otherwise the texts of two servers would be mixed.
Test(coordinator, hedged_stream_takes_its_text_from_one_engine) {
  Bench bench({HostOf("e1", "encode"), HostOf("g1", "generate"),
               HostOf("g2", "generate")});
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  StageSpec generate = StageOf("generate");
  generate.streams = true;
  generate.hedge_after = milliseconds(50);
  AddService(*catalogue, "letters", {generate});
  bench.coordinator().SetCatalogue(catalogue);
  const RequestId id = bench.Submit(SubmissionOf("letters", "x"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Advance(milliseconds(60));
  cr_assert_eq(bench.starts.size(), 2U);
  const AttemptId slow = bench.starts.at(0).attempt;
  const AttemptId hedge = bench.starts.at(1).attempt;
  bench.Write(hedge);
  bench.Chunk(hedge, 0, "Dear");
  bench.Chunk(slow, 0, "In");
  bench.Chunk(slow, 1, " memory");
  bench.Answer(slow, "");
  cr_assert(bench.FinishOf(id) == nullptr);
  bench.Chunk(hedge, 1, " Aino");
  bench.Answer(hedge, "");
  cr_assert(bench.FinishOf(id)->body == "\"Dear Aino\"");
}

// "Not run" is true.

// The caller of an order without a key disconnects while the order runs. The
// call must not be cancelled, since its outcome would be unknown.
Test(coordinator, caller_gone_during_an_unkeyed_order_lets_it_finish) {
  Bench bench({HostOf("o1", "order")});
  const RequestId id = bench.Submit(SubmissionOf("orders", "plaque"));
  bench.Write(bench.starts.at(0).attempt);
  bench.coordinator().OnCallerGone(bench.now, id);
  bench.TakeActions();
  cr_assert(bench.cancels.empty());
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(!bench.FinishOf(id)->error.has_value());
}

// A connect failure is reported for a call whose bytes were written. If it were
// handled as such, the order would run twice or be reported as not run.
Test(coordinator, connect_failure_after_bytes_went_out_is_outcome_unknown) {
  Bench bench({HostOf("o1", "order"), HostOf("o2", "order")});
  const RequestId id = bench.Submit(SubmissionOf("orders", "plaque"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kConnect);
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kOutcomeUnknown);
}

// A daemon paused beyond all deadlines resumes, and an answer frees a slot
// before the deadline timers run. No call may start for a request whose
// deadline has passed.
Test(coordinator, frozen_daemon_starts_nothing_past_the_deadline) {
  Bench bench({HostOf("e1", "encode", 1)});
  const RequestId first = bench.Submit(SubmissionOf("lookups", "a"));
  const RequestId second = bench.Submit(SubmissionOf("lookups", "b"));
  bench.Write(bench.starts.at(0).attempt);
  bench.now += seconds(30);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(!bench.FinishOf(first)->error.has_value());
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(second)->error == ErrorKind::kDeadlineBeforeStart);
}

// A deadline frees the only slot. The waiting request must start at once, since
// no other event would trigger its dispatch.
Test(coordinator, slot_freed_by_a_deadline_goes_to_the_next_waiter) {
  Bench bench({HostOf("e1", "encode", 1)});
  Submission first = SubmissionOf("lookups", "a");
  first.timeout = milliseconds(100);
  bench.Submit(std::move(first));
  bench.Submit(SubmissionOf("lookups", "b"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Advance(milliseconds(100));
  cr_assert_eq(bench.finishes.size(), 1U);
  cr_assert_eq(bench.starts.size(), 2U);
}

// Regressions found by random_requests.

// random_requests --seed 1: a paused daemon resumes with a hedge timer and a
// deadline timer overdue. The hedge timer runs first and must not start a call
// for the expired request.
Test(coordinator, frozen_daemon_starts_no_hedge_past_the_deadline) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  StageSpec encode = StageOf("encode");
  encode.hedge_after = milliseconds(50);
  AddService(*catalogue, "lookups", {encode});
  bench.coordinator().SetCatalogue(catalogue);
  const RequestId id = bench.Submit(SubmissionOf("lookups", "a"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Advance(seconds(30));
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kDeadlineExceeded);
}

// random_requests --seed 8: most servers of a pool restart at once and refuse
// connections within milliseconds, which used up all attempts. Since nothing
// ran and seconds are left, the request must wait and be answered.
Test(coordinator, request_outlasts_a_restart_of_its_whole_pool) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  const RequestId id = bench.Submit(SubmissionOf("lookups", "a"));
  for (std::size_t next = 0; bench.now < TimePoint{} + seconds(3);) {
    if (next < bench.starts.size()) {
      bench.Fail(bench.starts.at(next++).attempt, AttemptFailure::kConnect);
    }
    bench.Advance(milliseconds(10));
  }
  cr_assert(bench.FinishOf(id) == nullptr);
  cr_assert_lt(bench.starts.size(), 20U);
  bench.Advance(milliseconds(400));
  bench.Write(bench.starts.back().attempt);
  bench.Answer(bench.starts.back().attempt, "1");
  cr_assert(!bench.FinishOf(id)->error.has_value());
}
