#include "gentianroute/gateway/store_follower.h"

#include <criterion/criterion.h>

#include <utility>

#include "fake_store.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

constexpr Duration kMaxPropagationTime = std::chrono::milliseconds(2500);

/// Starts a follower and runs the loop until it has called the store.
void StartFollower(EventLoop& loop, StoreFollower& follower) {
  follower.Start(Duration{0});
  RunLoopFor(loop, Duration{0});
}

struct FollowerFixture {
  EventLoop loop;
  FakeStore store;
  std::vector<std::string> changes;
  std::size_t full_reads = 0;
  std::size_t call_failures = 0;
  std::size_t missed = 0;  ///< reports of rows that came and went unseen
  explicit FollowerFixture(Duration max_propagation_time = kMaxPropagationTime)
      : follower(loop,
                 store,
                 StoreTable::kServers,
                 max_propagation_time,
                 Listener()) {
    follower.SetFollowing(true);
  }

  StoreFollower::Listener Listener() {
    return {[this](const std::vector<StoredRow>& /*rows*/) { ++full_reads; },
            [this](const StoredRow& row, ChangeSource /*source*/) {
              changes.push_back((row.deleted ? "-" : "+") + row.key);
            },
            [](bool /*answers*/) {}, [this] { ++call_failures; },
            [this] { ++missed; }};
  }
  void RunFor(Duration time) { RunLoopFor(loop, time); }
  void Start() { StartFollower(loop, follower); }

  StoreFollower follower;
};

/// Another daemon's copy of the same table.
struct PeerFixture {
  EventLoop& loop;
  FakeStore store;
  std::vector<std::string> changes;
  StoreFollower follower;

  explicit PeerFixture(FollowerFixture& first)
      : loop(first.loop),
        follower(first.loop,
                 store,
                 StoreTable::kServers,
                 kMaxPropagationTime,
                 {[](const std::vector<StoredRow>& /*rows*/) {},
                  [this](const StoredRow& row, ChangeSource /*source*/) {
                    changes.push_back((row.deleted ? "-" : "+") + row.key);
                  },
                  [](bool /*answers*/) {}, [] {}, [] {}}) {}
  void Start() { StartFollower(loop, follower); }
};

}  // namespace

Test(store_follower, reads_table_once_and_follows_from_its_version) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  cr_assert(fixture.follower.is_complete());
  cr_assert_eq(fixture.store.calls.front().after, 7);
  fixture.store.RespondWithRows({{"b", "1", 9, false}}, 9);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"+b"});
}

// Calls to the store are billed. A daemon must not call again after its pending
// call when another daemon has taken over.
Test(store_follower, daemon_that_does_not_follow_makes_no_more_calls) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({}, 7);
  fixture.follower.SetFollowing(false);
  fixture.store.RespondWithRows({}, 8);
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert(fixture.store.calls.empty());
  fixture.follower.SetFollowing(true);
  cr_assert_eq(fixture.store.calls.size(), 1);
}

// A read may return a version older than the copy, as happens after the store
// has dropped its history. Applying it would restore an old configuration.
Test(store_follower, older_version_from_the_store_is_ignored) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "new", 9, false}}, 9);
  StoreAnswer gone;
  gone.kind = StoreAnswer::Kind::kHistoryGone;
  fixture.store.Respond(gone);
  fixture.store.RespondWithRows({{"a", "old", 3, false}}, 5);
  cr_assert_eq(fixture.full_reads, 1);
  cr_assert_eq(fixture.follower.version(), 9);
}

Test(store_follower, lost_history_is_followed_by_a_full_read) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  StoreAnswer gone;
  gone.kind = StoreAnswer::Kind::kHistoryGone;
  fixture.store.Respond(gone);
  cr_assert(fixture.store.calls.front().is_full);
  fixture.store.RespondWithRows({{"a", "", 4, false}}, 12);
  cr_assert_eq(fixture.full_reads, 2);
}

// Requests for a new route got 404 in a whole data centre, because the daemon
// that read the store had lost its connection and noticed it only after four
// seconds. Two daemons in succession must notice within the maximum propagation
// time.
Test(store_follower,
     failed_call_is_noticed_while_another_daemon_can_still_take_over) {
  constexpr Duration kAnswerMargin = std::chrono::milliseconds(400);
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({}, 7);
  cr_assert(2 * (fixture.store.max_wait + kAnswerMargin) < kMaxPropagationTime);
  cr_assert(fixture.follower.contact() == StoreContact::kReachable);
  fixture.store.Respond(StoreAnswer{});
  cr_assert(fixture.follower.contact() == StoreContact::kUnreachable);
  cr_assert_eq(fixture.call_failures, 1);
}

Test(store_follower, failed_call_is_repeated_after_a_pause) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.Respond(StoreAnswer{});
  cr_assert(fixture.store.calls.empty());
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert_eq(fixture.store.calls.size(), 1);
}

Test(store_follower, peer_receives_only_the_rows_it_lacks) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  fixture.store.RespondWithRows({{"c", "", 8, false}, {"b", "", 9, true}}, 9);
  const StoreChanges changes = fixture.follower.ChangesAfter(7);
  cr_assert_not(changes.is_full);
  cr_assert_eq(changes.rows.size(), 2);
  cr_assert_eq(changes.version, 9);
  cr_assert(fixture.follower.ChangesAfter(9).rows.empty());
}

Test(store_follower, peer_without_a_copy_gets_all_rows) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "", 4, false}}, 7);
  const StoreChanges changes = fixture.follower.ChangesAfter(0);
  cr_assert(changes.is_full);
  cr_assert_eq(changes.rows.size(), 1);
}

// A peer reports a deleted server, then the pending call of this daemon returns
// an older row of that server. The server must stay deleted.
Test(store_follower, old_row_does_not_bring_back_a_deleted_one) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "", 4, false}}, 7);
  fixture.follower.MergePeerCopy({{{"a", "", 9, true}}, 9, false});
  fixture.store.RespondWithRows({{"a", "", 8, false}}, 8);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"-a"});
}

// Calls to the store are billed, and one daemon of each data centre makes one
// per poll timeout. A longer propagation time must allow longer polls.
Test(store_follower, longer_propagation_time_gives_a_longer_poll_timeout) {
  constexpr Duration kTimeoutForShortLimit = std::chrono::milliseconds(700);
  FollowerFixture fixture(std::chrono::seconds(4));
  fixture.Start();
  fixture.store.RespondWithRows({}, 7);
  cr_assert(fixture.store.max_wait >= 2 * kTimeoutForShortLimit);
}

// A whole data centre requests thousands of rows from one daemon. When each
// response contained the whole table, the responses queued for a link that
// needs seconds to send them, until the process ran out of memory.
Test(store_follower, large_table_is_copied_in_parts_that_are_each_consistent) {
  constexpr std::size_t kRows = 3000;
  const std::string value(200, 'x');
  std::vector<StoredRow> rows;
  for (std::size_t i = 0; i < kRows; ++i) {
    // Two rows belong to one write.
    rows.push_back({"server-" + std::to_string(i), value, 10 + i / 2, false});
  }
  FollowerFixture source;
  source.Start();
  source.store.RespondWithRows(rows, 5000);
  PeerFixture asker(source);
  std::size_t copied_rows = 0;
  while (asker.follower.newest_change() < source.follower.newest_change()) {
    const StoreChanges part =
        source.follower.ChangesAfter(asker.follower.newest_change());
    cr_assert_leq(part.rows.size(), 400);
    cr_assert_eq(part.rows.size() % 2, 0);
    copied_rows += part.rows.size();
    asker.follower.MergePeerCopy(part);
  }
  cr_assert_eq(copied_rows, kRows);
}

// A peer that read the table shortly before this daemon lacks only the changes
// in between and must not get the whole table: all daemons start together, so
// each one would copy it from each other one.
Test(store_follower,
     peer_with_an_older_read_gets_the_changes_and_the_live_keys) {
  FollowerFixture later;
  later.Start();
  later.store.RespondWithRows({{"a", "", 4, false}, {"c", "", 9, false}}, 9);
  PeerFixture before(later);
  before.Start();
  before.store.RespondWithRows({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  const StoreChanges changes =
      later.follower.ChangesAfter(before.follower.newest_change());
  cr_assert_not(changes.is_full);
  cr_assert_eq(changes.rows.size(), 1);
  before.follower.MergePeerCopy(changes);
  cr_assert_eq(before.changes, (std::vector<std::string>{"-b", "+c"}));
  cr_assert_eq(before.follower.newest_change(), 9);
}

// A row that this daemon received after the peer collected its keys must stay.
Test(store_follower, row_newer_than_the_live_keys_of_a_peer_is_kept) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "", 4, false}, {"new", "", 12, false}},
                                12);
  StoreChanges changes;
  changes.version = 9;
  changes.live_keys_version = 9;
  changes.live_key_hashes = {1};
  fixture.follower.MergePeerCopy(changes);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"-a"});
}

// All daemons start at once, and one of each data centre is to follow the
// store. Each daemon must not make a billed call before it knows the others.
Test(store_follower, does_not_follow_until_following_is_set) {
  FollowerFixture fixture;
  PeerFixture other(fixture);
  other.Start();
  other.store.RespondWithRows({{"a", "", 4, false}}, 7);
  cr_assert(other.store.calls.empty());
  other.follower.SetFollowing(true);
  cr_assert_eq(other.store.calls.size(), 1);
}

// Daemons that start before the first backend server read an empty table. When
// they ignored a full copy after that, they requested it endlessly and knew no
// servers.
Test(store_follower, peer_copy_is_merged_after_an_empty_table_was_read) {
  FollowerFixture source;
  source.Start();
  source.store.RespondWithRows({{"a", "", 4, false}}, 7);
  PeerFixture other(source);
  other.Start();
  other.store.RespondWithRows({}, 2);
  other.follower.MergePeerCopy(
      source.follower.ChangesAfter(other.follower.newest_change()));
  cr_assert_eq(other.changes, std::vector<std::string>{"+a"});
  cr_assert_eq(other.follower.newest_change(), 4);
}

namespace {

/// A follower that holds the first rows, and waits for changes.
struct AskedFollowerFixture : FollowerFixture {
  std::vector<bool> answers;
  FreshnessQuestion question{
      [this](bool is_fresh) { answers.push_back(is_fresh); }};

  AskedFollowerFixture() {
    Start();
    store.RespondWithRows({{"a", "1", 4, false}}, 7);
    store.calls.clear();
    follower.AskIfFresh(question);
    RunFor(Duration{0});
  }
};

}  // namespace

Test(store_follower, store_is_asked_missing_rows_arrive_before_the_answer) {
  AskedFollowerFixture fixture;
  cr_assert_eq(fixture.store.calls.size(), 1);
  cr_assert_eq(fixture.store.calls.front().after, 7);
  cr_assert(fixture.answers.empty());
  fixture.store.RespondWithRows({{"b", "1", 9, false}}, 9);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"+b"});
  cr_assert_eq(fixture.answers, std::vector<bool>{true});
}

// Guards against a daemon that takes a store which doesn't answer for one that
// has no changes.
Test(store_follower, store_gives_no_rows_copy_is_not_fresh) {
  AskedFollowerFixture fixture;
  fixture.store.Respond({});
  cr_assert_eq(fixture.answers, std::vector<bool>{false});
}

// Guards against the same where the store has dropped its history, and against
// a copy that nobody follows being refused for it.
Test(store_follower, history_is_gone_table_is_read_before_the_answer) {
  for (const bool is_read : {false, true}) {
    AskedFollowerFixture fixture;
    fixture.store.RespondHistoryGone();
    cr_assert(fixture.answers.empty());
    if (is_read) {
      fixture.store.RespondWithRows({{"c", "1", 12, false}}, 12);
    } else {
      fixture.store.Respond({});
    }
    cr_assert_eq(fixture.answers, std::vector<bool>{is_read});
    cr_assert_eq(fixture.full_reads, is_read ? 2 : 1);
  }
}

// Guards against a question being answered by a call that began before it.
Test(store_follower, question_comes_during_a_call_the_next_one_answers_it) {
  AskedFollowerFixture fixture;
  std::vector<bool> later;
  FreshnessQuestion question(
      [&later](bool is_fresh) { later.push_back(is_fresh); });
  fixture.follower.AskIfFresh(question);
  cr_assert_eq(fixture.store.calls.size(), 1);
  fixture.store.RespondWithRows({}, 8);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(later.empty());
  cr_assert_eq(fixture.store.calls.size(), 1);
  fixture.store.RespondWithRows({}, 9);
  cr_assert_eq(later, std::vector<bool>{true});
  cr_assert(fixture.store.calls.empty());
}

Test(store_follower, question_is_withdrawn_it_is_not_answered) {
  AskedFollowerFixture fixture;
  bool answered = false;
  {
    FreshnessQuestion question([&answered](bool) { answered = true; });
    fixture.follower.AskIfFresh(question);
  }
  fixture.store.RespondWithRows({}, 8);
  cr_assert_not(answered);
  cr_assert(fixture.store.calls.empty());
}

Test(store_follower, copy_is_incomplete_it_is_not_fresh) {
  FollowerFixture fixture;
  std::vector<bool> answers;
  FreshnessQuestion question(
      [&answers](bool is_fresh) { answers.push_back(is_fresh); });
  fixture.follower.AskIfFresh(question);
  fixture.RunFor(Duration{0});
  cr_assert_eq(answers, std::vector<bool>{false});
}

// Guards against a daemon that stood still believing that the store has just
// answered it: no call has failed, as none was looked at.
Test(store_follower, daemon_stood_still_store_has_not_answered_lately) {
  AskedFollowerFixture fixture;
  const TimePoint now = fixture.loop.Now();
  cr_assert(fixture.follower.HasAnsweredLately(now));
  cr_assert(fixture.follower.contact() == StoreContact::kReachable);
  cr_assert_not(
      fixture.follower.HasAnsweredLately(now + std::chrono::seconds(2)));
}

// Guards against a daemon vouching for the past that was out of touch while a
// row came and went.
Test(store_follower, row_came_and_went_unseen_it_is_reported) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  fixture.store.RespondWithRows({{"b", "", 9, true}}, 9);
  cr_assert_eq(fixture.missed, 1);
}

Test(store_follower, peer_tells_of_an_older_deletion_nothing_was_missed) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  StoreChanges copy;
  copy.rows = {{"b", "", 6, true}};
  copy.version = 7;
  fixture.follower.MergePeerCopy(copy);
  cr_assert_eq(fixture.missed, 0);
}

Test(store_follower, known_row_goes_nothing_was_missed) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  fixture.store.RespondWithRows({{"a", "", 9, true}}, 9);
  cr_assert_eq(fixture.missed, 0);
}

// Guards against the same where the store has dropped its history meanwhile, so
// that the table is read again.
Test(store_follower, history_is_gone_rows_are_missed_after_a_long_silence) {
  for (const bool is_long : {false, true}) {
    FollowerFixture fixture;
    fixture.Start();
    fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
    fixture.RunFor(is_long ? std::chrono::milliseconds(2100)
                           : std::chrono::milliseconds(100));
    fixture.store.calls.front().done({});
    fixture.store.calls.clear();
    fixture.RunFor(kLongerThanAnyDelay);
    fixture.store.RespondHistoryGone();
    fixture.store.RespondWithRows({{"a", "1", 4, false}}, 12);
    cr_assert_eq(fixture.missed, is_long ? 1 : 0);
  }
}

// Guards against a daemon vouching for the past that has not followed the store
// for a while, where its question shows that the history is gone.
Test(store_follower, asked_after_a_long_silence_without_history_rows_missed) {
  for (const bool is_vouched_for : {false, true}) {
    FollowerFixture fixture;
    fixture.Start();
    fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
    fixture.store.calls.clear();
    fixture.follower.SetFollowing(false);
    fixture.RunFor(std::chrono::milliseconds(2500));
    if (is_vouched_for) {
      fixture.follower.OnVouchedFor(fixture.loop.Now());
    }
    FreshnessQuestion question([](bool /*is_fresh*/) {});
    fixture.follower.AskIfFresh(question);
    fixture.RunFor(Duration{0});
    fixture.store.RespondHistoryGone();
    cr_assert_eq(fixture.missed, is_vouched_for ? 0 : 1);
  }
}

// Guards against the same where the daemon stood still and then follows the
// store, as its peers seem to be lost.
Test(store_follower, follows_after_a_long_silence_without_history_rows_missed) {
  FollowerFixture fixture;
  fixture.follower.SetFollowing(false);
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  fixture.RunFor(std::chrono::milliseconds(2500));
  fixture.follower.SetFollowing(true);
  fixture.store.RespondHistoryGone();
  cr_assert_eq(fixture.missed, 1);
}

// Guards against the same where a peer has read the table later and can't tell
// which rows came and went.
Test(store_follower, peer_copy_lists_the_keys_that_are_left_rows_missed) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  fixture.store.calls.clear();
  fixture.follower.SetFollowing(false);
  fixture.RunFor(std::chrono::milliseconds(2500));
  PeerFixture peer(fixture);
  peer.Start();
  peer.store.RespondWithRows({{"a", "2", 15, false}}, 20);
  fixture.follower.MergePeerCopy(
      peer.follower.ChangesAfter(fixture.follower.newest_change()));
  cr_assert_eq(fixture.missed, 1);
}

// Guards against an answer of a store that is behind the copy passing for its
// confirmation.
Test(store_follower, older_answer_arrives_it_does_not_confirm) {
  AskedFollowerFixture fixture;
  fixture.store.RespondWithRows({}, 5);
  cr_assert_eq(fixture.answers, std::vector<bool>{false});
}

// Guards against a peer keeping a row for good whose deletion was lost when the
// table was read again.
Test(store_follower, table_is_read_again_peer_drops_the_rows_that_are_gone) {
  FollowerFixture fixture;
  fixture.Start();
  fixture.store.RespondWithRows({{"a", "1", 4, false}}, 7);
  PeerFixture peer(fixture);
  peer.Start();
  peer.store.RespondWithRows({{"a", "1", 4, false}, {"b", "1", 9, false}}, 9);
  fixture.store.RespondHistoryGone();
  fixture.store.RespondWithRows({{"a", "1", 4, false}, {"c", "1", 12, false}},
                                14);
  peer.follower.MergePeerCopy(
      fixture.follower.ChangesAfter(peer.follower.newest_change()));
  const std::vector<std::string> expected = {"-b", "+c"};
  cr_assert_eq(peer.changes, expected);
}
