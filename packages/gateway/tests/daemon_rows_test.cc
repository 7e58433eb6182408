#include "gentianroute/gateway/daemon_rows.h"

#include <criterion/criterion.h>

#include "fake_store.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

constexpr std::string_view kOtherRow =
    R"({"address":"10.0.0.2","port":7740,"data_centre":"north"})";

struct RowsFixture {
  EventLoop loop;
  FakeStore store;
  std::vector<std::string> read;
  DaemonRows rows;

  explicit RowsFixture(bool first_start = false)
      : rows(loop,
             store,
             Own(),
             first_start,
             [this](std::string_view /*data_centre*/,
                    const std::vector<DaemonState>& daemons) {
               for (const DaemonState& daemon : daemons) {
                 read.push_back(daemon.name + "@" + daemon.address);
               }
             }) {}

  static DaemonState Own() {
    DaemonState own;
    own.name = "self";
    own.address = "10.0.0.1";
    own.port = 7740;
    own.data_centre = "north";
    return own;
  }
  void RunFor(Duration time) { RunLoopFor(loop, time); }
};

}  // namespace

Test(daemon_rows, added_daemon_writes_a_row_and_reads_again) {
  RowsFixture fixture;
  fixture.rows.Start();
  fixture.store.RespondWithRows({}, 1);
  cr_assert_eq(fixture.store.written.size(), 1);
  fixture.store.RespondWithRows({}, 2);
  fixture.RunFor(kLongerThanAnyDelay);
  fixture.store.RespondWithRows({{"other", std::string(kOtherRow), 3, false},
                                 fixture.store.written.front()},
                                3);
  cr_assert_eq(fixture.read, std::vector<std::string>{"other@10.0.0.2"});
  cr_assert_eq(fixture.store.written.size(), 1);
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert(fixture.store.calls.empty());
}

// All processes are killed, and hundreds restart at once. Their rows still
// exist, so that none of them must write its row and read the table again.
Test(daemon_rows, restart_with_an_existing_row_costs_one_call) {
  RowsFixture first;
  first.rows.Start();
  first.store.RespondWithRows({}, 1);
  const StoredRow own = first.store.written.front();
  std::vector<std::string> read;
  FakeStore store;
  DaemonRows again(first.loop, store, RowsFixture::Own(), false,
                   [&read](std::string_view /*data_centre*/,
                           const std::vector<DaemonState>& daemons) {
                     read.push_back(daemons.front().name);
                   });
  again.Start();
  store.RespondWithRows({{"other", std::string(kOtherRow), 3, false}, own}, 3);
  first.RunFor(kLongerThanAnyDelay);
  cr_assert(store.written.empty());
  cr_assert(store.calls.empty());
  cr_assert_eq(read, std::vector<std::string>{"other"});
}

// A daemon that replaces another one has the same name but another address.
Test(daemon_rows, row_with_another_address_is_overwritten) {
  RowsFixture fixture;
  fixture.rows.Start();
  fixture.store.RespondWithRows({{"self", std::string(kOtherRow), 3, false}},
                                3);
  cr_assert_eq(fixture.store.written.size(), 1);
}

Test(daemon_rows, call_without_an_answer_is_repeated) {
  RowsFixture fixture;
  fixture.rows.Start();
  fixture.store.Respond(StoreAnswer{});
  cr_assert(fixture.store.calls.empty());
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert_eq(fixture.store.calls.size(), 1);
}

// A thousand daemons start together. Each read the whole table before and after
// its write, and a part of the store refuses writes beyond some hundred a
// second, so that each repeated both several times.
Test(daemon_rows, first_start_of_a_fleet_costs_a_write_and_a_read_of_one_part) {
  RowsFixture fixture(true);
  fixture.rows.Start();
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert_eq(fixture.store.calls.size(), 1);
  cr_assert_eq(fixture.store.written.size(), 1);
  cr_assert_eq(fixture.store.calls.front().part, "north");
  fixture.store.RespondWithRows({}, 1);
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert_eq(fixture.store.calls.size(), 1);
  cr_assert_eq(fixture.store.calls.front().part, "north");
  fixture.store.RespondWithRows({{"other", std::string(kOtherRow), 3, false},
                                 fixture.store.written.front()},
                                3);
  fixture.RunFor(kLongerThanAnyDelay);
  cr_assert(fixture.store.calls.empty());
  cr_assert_eq(fixture.read, std::vector<std::string>{"other@10.0.0.2"});
}

Test(daemon_rows, other_data_centre_is_read_on_request) {
  RowsFixture fixture;
  fixture.rows.ReadOther("south");
  cr_assert_eq(fixture.store.calls.front().part, "south");
  fixture.store.RespondWithRows({{"other", std::string(kOtherRow), 3, false}},
                                3);
  cr_assert_eq(fixture.read, std::vector<std::string>{"other@10.0.0.2"});
}

// Guards against a row of another writer that ends each daemon which reads it,
// or gives it a port where no daemon listens.
Test(daemon_rows, odd_rows_are_passed_over_and_the_others_hold) {
  constexpr int kDepth = 100'000;
  const std::vector<std::string> odd = {
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      R"({"address":"10.0.0.3","port":70000,"data_centre":"north"})",
      R"({"address":"10.0.0.3","port":0,"data_centre":"north"})",
      R"({"address":"10.0.0.3","port":-1,"data_centre":"north"})",
      R"({"address":"10.0.0.3","port":1e300,"data_centre":"north"})",
      R"({"address":"10.0.0.3","port":1e400,"data_centre":"north"})",
      R"({"address":"10.0.0.3","port":"1","data_centre":"north"})",
      R"({"address":"10.0.0.3","port":1,"data_centre":7})",
      R"({"address":"10.0.0.3","port":1,"data_centre":[]})",
      R"({"address":7,"port":1,"data_centre":"north"})"};
  RowsFixture fixture;
  fixture.rows.Start();
  std::vector<StoredRow> rows = {{"other", std::string(kOtherRow), 3, false}};
  for (const std::string& value : odd) {
    rows.push_back({"odd-" + std::to_string(rows.size()), value, 3, false});
  }
  fixture.store.RespondWithRows(rows, 3);
  cr_assert_eq(fixture.read, std::vector<std::string>{"other@10.0.0.2"});
}

// Guards against a record being believed that a daemon of an earlier release on
// this host has not followed.
Test(daemon_rows, row_of_an_earlier_release_is_known_as_such) {
  using Predecessor = DaemonRows::Predecessor;
  RowsFixture fixture;
  cr_assert(fixture.rows.predecessor() == Predecessor::kUnknown);
  fixture.rows.Start();
  fixture.store.RespondWithRows({{"self", std::string(kOtherRow), 3, false}},
                                3);
  cr_assert(fixture.rows.predecessor() == Predecessor::kUnguarded);
}

Test(daemon_rows, row_of_this_release_is_known_as_such) {
  using Predecessor = DaemonRows::Predecessor;
  RowsFixture fixture;
  fixture.rows.Start();
  fixture.store.RespondWithRows({}, 3);
  cr_assert(fixture.rows.predecessor() == Predecessor::kGuarded);
  const StoredRow own = fixture.store.written.front();
  fixture.store.RespondWithRows({}, 4);
  fixture.RunFor(kLongerThanAnyDelay);
  fixture.store.RespondWithRows({own}, 5);
  cr_assert(fixture.rows.predecessor() == Predecessor::kGuarded);
}
