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

/// @brief The only operation that the ledger wants done.
ClaimOperation OnlyOperation(Bench& bench) {
  std::vector<ClaimOperation> operations = bench.core.claims.TakeOperations();
  cr_assert_eq(operations.size(), 1U);
  return operations.front();
}

/// @brief The write's answer is lost and the read-back finds no row; the write
/// takes effect only afterwards, if at all.
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

// The answer to the claim's write is lost and the row is not there on reading
// back. The caller is told "not run"; the write takes effect afterwards, and
// the abandoned token must still never be called under.
Test(claims, write_that_takes_effect_after_the_read_back_runs_nothing) {
  Bench bench(Orders());
  const RequestId id = bench.Submit(Order());
  const TableTransaction late = LoseClaimWrite(bench);
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kStoreUnavailable);
  bench.table.Transact(late);
  bench.Settle();
  cr_assert(bench.starts.empty());
}

// As above, and then the caller sends the key again to the same daemon. The row
// is the daemon's own abandoned token: it takes the row over and runs once.
Test(claims, resend_takes_over_an_abandoned_token_of_its_own_daemon) {
  Bench bench(Orders());
  bench.Submit(Order());
  bench.table.Transact(LoseClaimWrite(bench));
  const RequestId resend = bench.Submit(Order());
  bench.Settle();
  cr_assert_eq(bench.starts.size(), 1U);
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(!bench.FinishOf(resend)->error.has_value());
}

// The resend goes to another daemon. It queries the first, which says that the
// token was abandoned; it then replaces the row as read and runs once.
Test(claims, resend_takes_over_an_abandoned_token_of_a_peer) {
  Bench first(Orders());
  first.Submit(Order());
  const TableTransaction late = LoseClaimWrite(first);
  Bench second(Orders(), "daemon-2");
  second.table.Transact(late);
  const RequestId resend = second.Submit(Order());
  second.Settle();
  cr_assert_eq(second.queries.size(), 1U);
  const std::string token = second.queries.at(0).claim.token;
  first.coordinator().Join(first.now, token);
  first.Take();
  cr_assert(first.joins.at(0).outcome.state == JoinState::kAbandoned);
  second.coordinator().OnClaimHolderAnswered(second.now, resend, token,
                                             first.joins.at(0).outcome);
  second.Settle();
  cr_assert_eq(second.starts.size(), 1U);
}

// A peer queries about a token whose write took effect while its own daemon
// still waits for the answer. It is neither abandoned nor unknown: the peer
// waits.
Test(claims, join_of_a_token_still_being_claimed_waits_for_its_outcome) {
  Bench bench(Orders());
  bench.Submit(Order());
  bench.Advance(milliseconds(5));
  const ClaimOperation write = OnlyOperation(bench);
  const TransactResult written = bench.table.Transact(write.transaction);
  const auto holder = bench.core.codec.Decode(bench.table.Read(kRow).value);
  bench.coordinator().Join(bench.now, holder->token);
  bench.Take();
  cr_assert(bench.joins.empty());
  bench.core.claims.OnTransacted(bench.now, write.id, written);
  bench.Advance(Duration{0});
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.joins.at(0).outcome.state == JoinState::kFinished);
  cr_assert(bench.joins.at(0).outcome.body == "1");
}

// A peer's "abandoned" for one token arrives again after the request has met
// another holder, who runs. Believing it would take the row over and order a
// second plaque.
Test(claims, doubled_answer_of_a_claimer_does_not_replace_the_next_holder) {
  Bench bench(Orders());
  Claim old{"org", "key-1", "plaque", "daemon-2:1:1", "daemon-2", 1};
  bench.table.Transact({{{kRow, 0}}, {{kRow, bench.core.codec.Encode(old)}}});
  const RequestId id = bench.Submit(Order());
  bench.Settle();
  Claim next{"org", "key-1", "plaque", "daemon-3:1:1", "daemon-3", 1};
  bench.table.Transact({{{kRow, bench.table.Read(kRow).version}},
                        {{kRow, bench.core.codec.Encode(next)}}});
  const JoinOutcome abandoned{JoinState::kAbandoned, std::nullopt, {}};
  bench.coordinator().OnClaimHolderAnswered(bench.now, id, old.token,
                                            abandoned);
  bench.Settle();
  cr_assert_eq(bench.queries.size(), 2U);
  bench.coordinator().OnClaimHolderAnswered(bench.now, id, old.token,
                                            abandoned);
  bench.Settle();
  cr_assert(bench.starts.empty());
  cr_assert_eq(bench.queries.size(), 2U);
}

// The deadline passes while the claim is in flight, and the claim then stands.
// Nothing ran: the caller was told so, and the key is given back for a resend.
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
  bench.Settle();
  const auto row = bench.core.codec.Decode(bench.table.Read(kRow).value);
  cr_assert(row->state == ClaimState::kNotRun);
  bench.Submit(Order());
  bench.Settle();
  cr_assert_eq(bench.starts.size(), 1U);
}

// The same key twice at one daemon: one call, and both callers get its answer.
// With another body it is a conflict, told at once.
Test(claims, same_key_twice_is_called_once_and_both_are_answered) {
  Bench bench(Orders());
  const RequestId first = bench.Submit(Order());
  const RequestId second = bench.Submit(Order());
  const RequestId other = bench.Submit(Order("another plaque"));
  bench.Settle();
  cr_assert_eq(bench.starts.size(), 1U);
  cr_assert(bench.FinishOf(other)->error == ErrorKind::kKeyConflict);
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.FinishOf(first)->body == "1");
  cr_assert(bench.FinishOf(second)->body == "1");
  bench.Settle();
  const RequestId third = bench.Submit(Order());
  bench.Settle();
  cr_assert(bench.FinishOf(third)->replayed);
  cr_assert_eq(bench.starts.size(), 1U);
}

// The order was written and never answered. A resend, also one to a restarted
// daemon, must be told that the outcome is unknown, and never runs the order.
Test(claims, resend_after_an_unanswered_order_is_told_the_outcome_is_unknown) {
  Bench bench(Orders());
  const RequestId first = bench.Submit(Order());
  bench.Settle();
  bench.Write(bench.starts.at(0).attempt);
  bench.Advance(seconds(1));
  cr_assert(bench.FinishOf(first)->error == ErrorKind::kOutcomeUnknown);
  const RequestId resend = bench.Submit(Order());
  bench.Settle();
  cr_assert(bench.FinishOf(resend)->error == ErrorKind::kOutcomeUnknown);
  cr_assert_eq(bench.starts.size(), 1U);
}

// An earlier arrival of the key ran, at another daemon. Its resend is refused
// before the row was read: "not run" is true of this arrival alone, and the
// answer says that the key was not looked at. Once the row was read it doesn't.
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
  bench.Settle();
  const RequestId other = bench.Submit(Order("other"));
  bench.Settle();
  cr_assert(bench.FinishOf(other)->error == ErrorKind::kKeyConflict);
  cr_assert(bench.FinishOf(other)->key_checked);
}
