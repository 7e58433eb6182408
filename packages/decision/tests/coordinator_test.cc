#include "gentianroute/decision/coordinator.h"

#include "decision_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

// --- Results reach only their own request, whole
// ------------------------------

// The caller gets its own answer although the connection first carries another
// request's. The crossed answer fails the call, its connection is closed, and
// the retry's answer is the one that counts. A late copy changes nothing.
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
  bench.Take();
  cr_assert(bench.FinishOf(id) == nullptr);
  cr_assert(bench.cancels.at(0).close_idle_connections);
  const AttemptId second = bench.starts.at(1).attempt;
  bench.Answer(first, "\"late\"");
  bench.Answer(second, "\"mine\"");
  bench.Answer(second, "\"twice\"");
  cr_assert_eq(bench.finishes.size(), 1U);
  cr_assert(bench.FinishOf(id)->body == "\"mine\"");
}

// The stream breaks after two tokens; another engine resumes a little early.
// Tokens that were received already are dropped, so that the caller's text is
// exact.
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

// A stream skips a token. The gap fails the call before anything behind it is
// taken, and the next engine resumes at the token that is missing.
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

// Both sides of a hedge stream. The first token decides: the other side is
// cancelled, or two engines' wordings would be mixed into one letter.
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

// --- "Not run" is true
// --------------------------------------------------------

// The caller of an order without a key hangs up while the order runs. The
// daemon lives on, lets the order finish and says nothing untrue of it.
Test(coordinator, caller_gone_during_an_unkeyed_order_lets_it_finish) {
  Bench bench({HostOf("o1", "order")});
  const RequestId id = bench.Submit(SubmissionOf("orders", "plaque"));
  bench.Write(bench.starts.at(0).attempt);
  bench.coordinator().OnCallerGone(bench.now, id);
  bench.Take();
  cr_assert(bench.cancels.empty());
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(!bench.FinishOf(id)->error.has_value());
}

// A far end reports "no connection" for a call whose bytes went out. Taking it
// at its word would run the order a second time, or call it not run.
Test(coordinator, connect_failure_after_bytes_went_out_is_outcome_unknown) {
  Bench bench({HostOf("o1", "order"), HostOf("o2", "order")});
  const RequestId id = bench.Submit(SubmissionOf("orders", "plaque"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kConnect);
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kOutcomeUnknown);
}

// A daemon frozen past every deadline resumes and first sees a free server, not
// its timers. No call may start for a request whose deadline has passed.
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

// The only slot frees itself because its request runs out of time. The next
// request must go at once; nothing else happens that would wake it.
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

// --- Regressions of random runs
// -----------------------------------------------

// random_requests --seed 1: a frozen daemon resumes with a hedge timer and a
// deadline both past. The hedge's timer is the older one and runs first; it
// must not start a call that nobody waits for.
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

// random_requests --seed 8, where most servers of a pool restart at once: they
// refuse connections within milliseconds and used up all attempts. Nothing ran
// and seconds are left, so the request waits and is answered.
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
