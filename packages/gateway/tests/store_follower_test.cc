#include "gentianroute/gateway/store_follower.h"

#include <criterion/criterion.h>

#include <utility>

#include "fake_store.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

constexpr Duration kInForceWithin = std::chrono::milliseconds(2500);

struct FollowerFixture {
  EventLoop loop;
  FakeStore store;
  std::vector<std::string> changes;
  std::size_t whole_reads = 0;
  std::size_t silences = 0;
  explicit FollowerFixture(Duration change_in_force = kInForceWithin)
      : follower(loop,
                 store,
                 StoreTable::kServers,
                 change_in_force,
                 Listener()) {
    follower.SetFollowing(true);
  }

  StoreFollower::Listener Listener() {
    return {[this](const std::vector<StoredRow>& /*rows*/) { ++whole_reads; },
            [this](const StoredRow& row) {
              changes.push_back((row.deleted ? "-" : "+") + row.key);
            },
            [](bool /*answers*/) {}, [this] { ++silences; }};
  }
  void Pass(Duration time) { PassTime(loop, time); }

  StoreFollower follower;
};

/// Another daemon's copy of the same table.
struct PeerFixture {
  FakeStore store;
  std::vector<std::string> changes;
  StoreFollower follower;

  explicit PeerFixture(FollowerFixture& first)
      : follower(first.loop,
                 store,
                 StoreTable::kServers,
                 kInForceWithin,
                 {[](const std::vector<StoredRow>& /*rows*/) {},
                  [this](const StoredRow& row) {
                    changes.push_back((row.deleted ? "-" : "+") + row.key);
                  },
                  [](bool /*answers*/) {}, [] {}}) {}
};

}  // namespace

Test(store_follower, reads_once_and_follows_from_there) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "1", 4, false}}, 7);
  cr_assert(fixture.follower.known());
  cr_assert_eq(fixture.store.asked.front().after, 7);
  fixture.store.Answer({{"b", "1", 9, false}}, 9);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"+b"});
}

// Each call to the store costs money. A daemon that another one reads for must
// not ask again once its last call has ended.
Test(store_follower, daemon_that_does_not_follow_asks_no_more) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({}, 7);
  fixture.follower.SetFollowing(false);
  fixture.store.Answer({}, 8);
  fixture.Pass(kLongerThanAnyPause);
  cr_assert(fixture.store.asked.empty());
  fixture.follower.SetFollowing(true);
  cr_assert_eq(fixture.store.asked.size(), 1);
}

// A read lags behind what is known, as reads do after the store has dropped its
// history. Going back would put an old configuration in force again.
Test(store_follower, older_copy_changes_nothing) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "new", 9, false}}, 9);
  StoreAnswer gone;
  gone.kind = StoreAnswer::Kind::kHistoryGone;
  fixture.store.Give(gone);
  fixture.store.Answer({{"a", "old", 3, false}}, 5);
  cr_assert_eq(fixture.whole_reads, 1);
  cr_assert_eq(fixture.follower.version(), 9);
}

Test(store_follower, lost_history_is_followed_by_a_whole_read) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  StoreAnswer gone;
  gone.kind = StoreAnswer::Kind::kHistoryGone;
  fixture.store.Give(gone);
  cr_assert(fixture.store.asked.front().whole);
  fixture.store.Answer({{"a", "", 4, false}}, 12);
  cr_assert_eq(fixture.whole_reads, 2);
}

// Callers of a whole data centre got 404 for a new route: its one reader had
// been cut off from the store and noticed it only after four seconds. Two
// daemons in a row have to notice within the time in which a change must be in
// force.
Test(store_follower, silence_is_noticed_while_another_can_still_ask) {
  constexpr Duration kAnswerMargin = std::chrono::milliseconds(400);
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({}, 7);
  cr_assert(2 * (fixture.store.longest_wait + kAnswerMargin) < kInForceWithin);
  cr_assert(fixture.follower.contact() == StoreContact::kReachable);
  fixture.store.Give(StoreAnswer{});
  cr_assert(fixture.follower.contact() == StoreContact::kUnreachable);
  cr_assert_eq(fixture.silences, 1);
}

Test(store_follower, failed_call_is_repeated_after_a_pause) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Give(StoreAnswer{});
  cr_assert(fixture.store.asked.empty());
  fixture.Pass(kLongerThanAnyPause);
  cr_assert_eq(fixture.store.asked.size(), 1);
}

Test(store_follower, peer_gets_just_what_it_lacks) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  fixture.store.Answer({{"c", "", 8, false}, {"b", "", 9, true}}, 9);
  const StoreChanges changes = fixture.follower.ChangesAfter(7);
  cr_assert_not(changes.whole);
  cr_assert_eq(changes.rows.size(), 2);
  cr_assert_eq(changes.version, 9);
  cr_assert(fixture.follower.ChangesAfter(9).rows.empty());
}

Test(store_follower, peer_that_knows_nothing_gets_all) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "", 4, false}}, 7);
  const StoreChanges changes = fixture.follower.ChangesAfter(0);
  cr_assert(changes.whole);
  cr_assert_eq(changes.rows.size(), 1);
}

// A server has left and a peer has told so; the own call, which was under way,
// then brings an older row of it. The server must stay gone.
Test(store_follower, old_row_does_not_bring_back_a_deleted_one) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "", 4, false}}, 7);
  fixture.follower.Offer({{{"a", "", 9, true}}, 9, false});
  fixture.store.Answer({{"a", "", 8, false}}, 8);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"-a"});
}

// Load: calls to the store are billed, and a reader of each data centre makes
// one for each time that a call is held. Where changes have more time, calls
// are held for longer.
Test(store_follower, call_is_held_longer_where_changes_have_more_time) {
  constexpr Duration kHeldNear = std::chrono::milliseconds(700);
  FollowerFixture fixture(std::chrono::seconds(4));
  fixture.follower.Start();
  fixture.store.Answer({}, 7);
  cr_assert(fixture.store.longest_wait >= 2 * kHeldNear);
}

// Load: a whole data centre asks one daemon for thousands of rows. Each answer
// was the whole table; they waited in its memory for a link that takes seconds
// over them, until the process was ended for it.
Test(store_follower, large_table_is_told_in_parts_that_each_are_a_whole_state) {
  constexpr std::size_t kRows = 3000;
  const std::string value(200, 'x');
  std::vector<StoredRow> rows;
  for (std::size_t i = 0; i < kRows; ++i) {
    // Two rows share a write.
    rows.push_back({"server-" + std::to_string(i), value, 10 + i / 2, false});
  }
  FollowerFixture source;
  source.follower.Start();
  source.store.Answer(rows, 5000);
  PeerFixture asker(source);
  std::size_t told = 0;
  while (asker.follower.newest_change() < source.follower.newest_change()) {
    const StoreChanges part =
        source.follower.ChangesAfter(asker.follower.newest_change());
    cr_assert_leq(part.rows.size(), 400);
    cr_assert_eq(part.rows.size() % 2, 0);
    told += part.rows.size();
    asker.follower.Offer(part);
  }
  cr_assert_eq(told, kRows);
}

// A peer read the table a moment before this daemon did, and lacks what changed
// between. It was handed the whole table again: all daemons start together, so
// each asked each for it.
Test(store_follower, peer_that_read_before_gets_the_changes_and_what_is_left) {
  FollowerFixture later;
  later.follower.Start();
  later.store.Answer({{"a", "", 4, false}, {"c", "", 9, false}}, 9);
  PeerFixture before(later);
  before.follower.Start();
  before.store.Answer({{"a", "", 4, false}, {"b", "", 5, false}}, 7);
  const StoreChanges changes =
      later.follower.ChangesAfter(before.follower.newest_change());
  cr_assert_not(changes.whole);
  cr_assert_eq(changes.rows.size(), 1);
  before.follower.Offer(changes);
  cr_assert_eq(before.changes, (std::vector<std::string>{"-b", "+c"}));
  cr_assert_eq(before.follower.newest_change(), 9);
}

// A row that this daemon learnt after the peer had listed its own must stay.
Test(store_follower, row_newer_than_a_peers_list_is_kept) {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.store.Answer({{"a", "", 4, false}, {"new", "", 12, false}}, 12);
  StoreChanges changes;
  changes.version = 9;
  changes.listed_version = 9;
  changes.listed = {1};
  fixture.follower.Offer(changes);
  cr_assert_eq(fixture.changes, std::vector<std::string>{"-a"});
}

// Load: all daemons start at once, and one of each data centre is to follow the
// store. A call of each, made before it knew the others, was billed.
Test(store_follower, does_not_follow_until_it_is_to) {
  FollowerFixture fixture;
  PeerFixture other(fixture);
  other.follower.Start();
  other.store.Answer({{"a", "", 4, false}}, 7);
  cr_assert(other.store.asked.empty());
  other.follower.SetFollowing(true);
  cr_assert_eq(other.store.asked.size(), 1);
}

// Daemons start before the first backend server does, and read an empty table.
// The one that follows the store tells of the servers; the others took that for
// a copy which they did not need, asked for it for ever, and served nobody.
Test(store_follower, copy_is_taken_after_an_empty_table_was_read) {
  FollowerFixture source;
  source.follower.Start();
  source.store.Answer({{"a", "", 4, false}}, 7);
  PeerFixture other(source);
  other.follower.Start();
  other.store.Answer({}, 2);
  other.follower.Offer(
      source.follower.ChangesAfter(other.follower.newest_change()));
  cr_assert_eq(other.changes, std::vector<std::string>{"+a"});
  cr_assert_eq(other.follower.newest_change(), 4);
}
