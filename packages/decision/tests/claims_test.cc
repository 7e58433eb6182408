#include "decision_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<HostRecord> Orders() {
  return {HostOf("o1", "order"), HostOf("o2", "order")};
}

Submission Order(const std::string& text = "plaque") {
  return SubmissionOf("orders", text, "key-1");
}

const TableKey kRow{"claims", "org/key-1"};

/// @brief Takes the ledger's operations, of which there must be exactly one.
ClaimOperation OnlyOperation(Bench& bench) {
  std::vector<ClaimOperation> operations = bench.core.claims.TakeOperations();
  cr_assert_eq(operations.size(), 1U);
  return operations.front();
}

/// @brief Loses the answer to the claim's write and lets the read-back find no
/// row.
/// @return the write, which the test may apply afterwards
TableTransaction LoseClaimWrite(Bench& bench) {
  bench.Advance(milliseconds(5));
  const ClaimOperation write = OnlyOperation(bench);
  bench.core.claims.OnTransacted(bench.now, write.id,
                                 {TableStatus::kUnknown, {}, {}});
  const ClaimOperation read = OnlyOperation(bench);
  bench.core.claims.OnRead(bench.now, read.id, bench.table.Read(read.reads));
  bench.Advance(Duration{0});
  return write.transaction;
}

}  // namespace

// The answer to the claim's write is lost and the read-back finds no row, so
// the caller is told that nothing ran. When the write takes effect afterwards,
// the abandoned token must not be dispatched.
Test(claims, write_that_takes_effect_after_the_read_back_runs_nothing) {
  Bench bench(Orders());
  const RequestId id = bench.Submit(Order());
  const TableTransaction late = LoseClaimWrite(bench);
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kStoreUnavailable);
  bench.table.Transact(late);
  bench.ProcessOperations();
  cr_assert(bench.starts.empty());
}

// As above, then the caller resends to the same daemon. The row holds the
// daemon's own abandoned token, so it replaces the row and runs once.
Test(claims, resend_takes_over_an_abandoned_token_of_its_own_daemon) {
  Bench bench(Orders());
  bench.Submit(Order());
  bench.table.Transact(LoseClaimWrite(bench));
  const RequestId resend = bench.Submit(Order());
  bench.ProcessOperations();
  cr_assert_eq(bench.starts.size(), 1U);
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(!bench.FinishOf(resend)->error.has_value());
}

// The resend goes to another daemon, which asks the first one. Told that the
// token was abandoned, it replaces the row and runs once.
Test(claims, resend_takes_over_an_abandoned_token_of_a_peer) {
  Bench first(Orders());
  first.Submit(Order());
  const TableTransaction late = LoseClaimWrite(first);
  Bench second(Orders(), "daemon-2");
  second.table.Transact(late);
  const RequestId resend = second.Submit(Order());
  second.ProcessOperations();
  cr_assert_eq(second.queries.size(), 1U);
  const std::string token = second.queries.at(0).claim.token;
  first.coordinator().Join(first.now, token);
  first.TakeActions();
  cr_assert(first.joins.at(0).outcome.state == JoinState::kAbandoned);
  second.coordinator().OnClaimHolderAnswered(second.now, resend, token,
                                             first.joins.at(0).outcome);
  second.ProcessOperations();
  cr_assert_eq(second.starts.size(), 1U);
}

// A peer asks about a token whose write took effect while its daemon still
// waits for the answer. It is neither abandoned nor unknown, so the peer must
// wait for the outcome.
Test(claims, join_of_a_token_still_being_claimed_waits_for_its_outcome) {
  Bench bench(Orders());
  bench.Submit(Order());
  bench.Advance(milliseconds(5));
  const ClaimOperation write = OnlyOperation(bench);
  const TransactResult written = bench.table.Transact(write.transaction);
  const auto holder = bench.core.codec.Decode(bench.table.Read(kRow).value);
  bench.coordinator().Join(bench.now, holder->token);
  bench.TakeActions();
  cr_assert(bench.joins.empty());
  bench.core.claims.OnTransacted(bench.now, write.id, written);
  bench.Advance(Duration{0});
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.joins.at(0).outcome.state == JoinState::kFinished);
  cr_assert(bench.joins.at(0).outcome.body == "1");
}

// A peer's answer "abandoned" arrives twice, the second time after the request
// has found another holder that runs. Acting on it would replace that holder's
// row and run the order twice.
Test(claims, doubled_answer_of_a_claimer_does_not_replace_the_next_holder) {
  Bench bench(Orders());
  Claim old{"org", "key-1", "plaque", "daemon-2:1:1", "daemon-2", 1};
  bench.table.Transact({{{kRow, 0}}, {{kRow, bench.core.codec.Encode(old)}}});
  const RequestId id = bench.Submit(Order());
  bench.ProcessOperations();
  Claim next{"org", "key-1", "plaque", "daemon-3:1:1", "daemon-3", 1};
  bench.table.Transact({{{kRow, bench.table.Read(kRow).version}},
                        {{kRow, bench.core.codec.Encode(next)}}});
  const JoinOutcome abandoned{JoinState::kAbandoned, std::nullopt, {}};
  bench.coordinator().OnClaimHolderAnswered(bench.now, id, old.token,
                                            abandoned);
  bench.ProcessOperations();
  cr_assert_eq(bench.queries.size(), 2U);
  bench.coordinator().OnClaimHolderAnswered(bench.now, id, old.token,
                                            abandoned);
  bench.ProcessOperations();
  cr_assert(bench.starts.empty());
  cr_assert_eq(bench.queries.size(), 2U);
}

// The deadline passes before the claim is confirmed. Nothing ran, so the key
// must be released for a resend.
Test(claims, claim_that_stands_after_the_deadline_is_given_back) {
  Bench bench(Orders());
  Submission order = Order();
  order.timeout = milliseconds(100);
  const RequestId id = bench.Submit(std::move(order));
  bench.Advance(milliseconds(5));
  const ClaimOperation write = OnlyOperation(bench);
  const TransactResult written = bench.table.Transact(write.transaction);
  bench.Advance(milliseconds(200));
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kDeadlineBeforeStart);
  bench.core.claims.OnTransacted(bench.now, write.id, written);
  bench.ProcessOperations();
  const auto row = bench.core.codec.Decode(bench.table.Read(kRow).value);
  cr_assert(row->state == ClaimState::kNotRun);
  bench.Submit(Order());
  bench.ProcessOperations();
  cr_assert_eq(bench.starts.size(), 1U);
}

// Two requests with the same key at one daemon: one call runs and both get its
// answer. A request with another body is refused as a conflict.
Test(claims, same_key_twice_is_called_once_and_both_are_answered) {
  Bench bench(Orders());
  const RequestId first = bench.Submit(Order());
  const RequestId second = bench.Submit(Order());
  const RequestId other = bench.Submit(Order("another plaque"));
  bench.ProcessOperations();
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(other)->error == ErrorKind::kKeyConflict);
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.FinishOf(first)->body == "1");
  cr_assert(bench.FinishOf(second)->body == "1");
  bench.ProcessOperations();
  const RequestId third = bench.Submit(Order());
  bench.ProcessOperations();
  cr_assert(bench.FinishOf(third)->replayed);
  cr_assert_eq(bench.starts.size(), 1U);
}

// An order was written and never answered. A resend, also to a restarted
// daemon, must be told that the outcome is unknown, and must not run the order.
Test(claims, resend_after_an_unanswered_order_is_told_the_outcome_is_unknown) {
  Bench bench(Orders());
  const RequestId first = bench.Submit(Order());
  bench.ProcessOperations();
  bench.Write(bench.starts.at(0).attempt);
  bench.Advance(seconds(1));
  cr_assert(bench.FinishOf(first)->error == ErrorKind::kOutcomeUnknown);
  const RequestId resend = bench.Submit(Order());
  bench.ProcessOperations();
  cr_assert(bench.FinishOf(resend)->error == ErrorKind::kOutcomeUnknown);
  cr_assert_eq(bench.starts.size(), 1U);
}

// A request refused before its claim row was read may be a resend of one that
// ran at another daemon. The refusal must say that the key was not checked;
// after the row was read it must not.
Test(claims, refusal_before_the_row_is_read_says_key_not_checked) {
  Bench bench(Orders());
  bench.List({});
  const RequestId unread = bench.Submit(Order());
  cr_assert(bench.FinishOf(unread)->error == ErrorKind::kNoServer);
  cr_assert_not(bench.FinishOf(unread)->key_checked);
  Submission unkeyed = Order();
  unkeyed.key.clear();
  const RequestId without = bench.Submit(std::move(unkeyed));
  cr_assert(bench.FinishOf(without)->key_checked);
  const RequestId lookup = bench.Submit(SubmissionOf("lookups", "x", "key-1"));
  cr_assert(bench.FinishOf(lookup)->key_checked, "it has no effect");

  bench.List(Orders());
  const RequestId lost = bench.Submit(Order());
  LoseClaimWrite(bench);
  cr_assert(bench.FinishOf(lost)->error == ErrorKind::kStoreUnavailable);
  cr_assert_not(bench.FinishOf(lost)->key_checked);
  bench.Submit(Order());
  bench.ProcessOperations();
  const RequestId other = bench.Submit(Order("other"));
  bench.ProcessOperations();
  cr_assert(bench.FinishOf(other)->error == ErrorKind::kKeyConflict);
  cr_assert(bench.FinishOf(other)->key_checked);
}
