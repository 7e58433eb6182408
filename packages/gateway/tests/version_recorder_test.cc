#include "gentianroute/gateway/version_recorder.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "gentianroute/gateway/detail/version_rows.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

using std::chrono::milliseconds;

routing::ServerPtr ServerOf(const std::string& version) {
  routing::ServerRecord record;
  record.id = "server of " + version;
  record.service = "model";
  record.software_version = version;
  return routing::ServerPtr(new routing::Server(record));
}

routing::VersionRecord RecordOf(const std::vector<std::string>& versions) {
  routing::VersionRecord record;
  for (const std::string& version : versions) {
    record.in_use.emplace(version, 0);
  }
  return record;
}

StoredRow RowOf(const std::vector<std::string>& versions,
                std::uint64_t row_version) {
  return {"model", detail::WriteVersionRow(RecordOf(versions)), row_version};
}

/// A row with these values of its fields.
std::string RowText(const std::string& in_use,
                    const std::string& retiring,
                    const std::string& routes,
                    const std::string& routes_moved) {
  return R"({"layout":1,"in_use":)" + in_use + R"(,"retiring":)" + retiring +
         R"(,"routes":)" + routes + R"(,"routes_moved":)" + routes_moved +
         R"(,"draft":false,"unguarded":[]})";
}

bool ReadsAsRecord(const std::string& value) {
  return detail::ReadVersionRow(value).kind ==
         detail::VersionRow::Kind::kRecord;
}

struct RecorderFixture {
  EventLoop loop;
  FakeStore store;
  bool may_write = true;
  bool covers_streams = true;
  std::vector<routing::ServerPtr> servers{ServerOf("v1")};
  std::vector<ChangeSource> changes;
  VersionRecorder recorder;

  explicit RecorderFixture(Duration write_delay = Duration{0})
      : recorder(loop,
                 store,
                 std::chrono::hours(1),
                 {[this] { return may_write; },
                  [write_delay] { return write_delay; },
                  [] { return std::set<std::string, std::less<>>{"model"}; },
                  [this](std::string_view /*service*/) { return Knowledge(); },
                  [this](ChangeSource source) { changes.push_back(source); }}) {
    recorder.SetMemory(std::chrono::seconds(40));
  }
  routing::StreamKnowledge Knowledge() const {
    routing::StreamKnowledge knowledge;
    knowledge.servers = servers;
    knowledge.covers_streams = covers_streams;
    return knowledge;
  }
  /// Writes what is out of date now.
  void Update() {
    recorder.UpdateSoon();
    RunLoopFor(loop, milliseconds(3));
  }
  bool Has(std::string_view version) const {
    const auto* record = recorder.records().Find("model");
    return record != nullptr && record->in_use.contains(version);
  }
  void RespondWithConflict(std::vector<StoredRow> rows) {
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::kConflict;
    answer.rows = std::move(rows);
    store.Respond(std::move(answer));
  }
};

}  // namespace

TestSuite(version_recorder);

Test(version_recorder, first_record_is_written_if_there_is_none) {
  RecorderFixture fixture;
  fixture.Update();
  cr_assert_eq(fixture.store.calls.size(), 1);
  cr_assert_eq(fixture.store.calls.front().after, 0);
  cr_assert_not(fixture.Has("v1"));
  fixture.store.RespondWithRows({}, 9);
  cr_assert(fixture.Has("v1"));
  cr_assert_eq(fixture.recorder.newest_change(), 9);
  cr_assert_eq(fixture.changes.size(), 1);
}

Test(version_recorder, nothing_changes_nothing_is_written) {
  RecorderFixture fixture;
  fixture.Update();
  fixture.store.RespondWithRows({}, 9);
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
}

// Guards against hundreds of daemons writing one fact.
Test(version_recorder, daemon_that_does_not_read_the_store_writes_nothing) {
  RecorderFixture fixture;
  fixture.may_write = false;
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
}

Test(version_recorder, another_data_centre_comes_first_the_write_waits) {
  RecorderFixture fixture(milliseconds(50));
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
  fixture.recorder.MergePeerCopy({RowOf({"v1"}, 5)});
  RunLoopFor(fixture.loop, milliseconds(80));
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
}

// Guards against a daemon overwriting the versions that another one has added
// meanwhile.
Test(version_recorder, condition_fails_the_present_row_is_kept_and_extended) {
  RecorderFixture fixture;
  fixture.servers.push_back(ServerOf("v2"));
  fixture.Update();
  fixture.RespondWithConflict({RowOf({"v1", "v3"}, 7)});
  cr_assert(fixture.Has("v3"));
  fixture.Update();
  cr_assert_eq(fixture.store.calls.size(), 1);
  cr_assert_eq(fixture.store.calls.front().after, 7);
  fixture.store.RespondWithRows({}, 8);
  cr_assert(fixture.Has("v2"));
}

// Guards against a version counting as recorded whose write got no answer.
Test(version_recorder, write_gets_no_answer_it_is_repeated) {
  RecorderFixture fixture;
  fixture.Update();
  fixture.store.Respond(StoreAnswer{});
  cr_assert_not(fixture.Has("v1"));
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
  RunLoopFor(fixture.loop, milliseconds(120));
  fixture.Update();
  cr_assert_eq(fixture.store.calls.size(), 1);
}

// Guards against the same where the lost write has taken effect.
Test(version_recorder, lost_write_took_effect_the_row_is_adopted) {
  RecorderFixture fixture;
  fixture.Update();
  fixture.store.Respond(StoreAnswer{});
  RunLoopFor(fixture.loop, milliseconds(120));
  fixture.Update();
  fixture.RespondWithConflict({RowOf({"v1"}, 4)});
  cr_assert(fixture.Has("v1"));
  cr_assert(fixture.store.calls.empty());
}

// Guards against a list of thousands of changed servers being looked through
// for each of them.
Test(version_recorder, many_changes_at_once_cost_one_write) {
  RecorderFixture fixture;
  fixture.recorder.UpdateSoon();
  fixture.servers.push_back(ServerOf("v2"));
  fixture.recorder.UpdateSoon();
  cr_assert(fixture.store.calls.empty());
  fixture.Update();
  cr_assert_eq(fixture.store.calls.size(), 1);
  fixture.store.RespondWithRows({}, 9);
  cr_assert(fixture.Has("v2"));
}

Test(version_recorder, older_row_of_a_peer_is_ignored) {
  RecorderFixture fixture;
  fixture.may_write = false;
  fixture.recorder.MergePeerCopy({RowOf({"v2"}, 5)});
  fixture.recorder.MergePeerCopy({RowOf({"v1"}, 4)});
  cr_assert(fixture.Has("v2"));
  cr_assert_not(fixture.Has("v1"));
}

Test(version_recorder, peer_has_the_newest_rows_it_gets_none) {
  RecorderFixture fixture;
  fixture.recorder.MergePeerCopy({RowOf({"v1"}, 5)});
  cr_assert(fixture.recorder.RowsIfNewer(5).empty());
  cr_assert_eq(fixture.recorder.RowsIfNewer(4).size(), 1);
}

// Guards against rows of another writer, or cut ones, being believed.
Test(version_recorder, row_is_unreadable_there_is_no_record) {
  const std::vector<std::string> values = {
      "",
      "{",
      "[]",
      "null",
      R"({"layout":0,"in_use":{},"retiring":[]})",
      R"({"layout":-1})",
      R"({"layout":1})",
      RowText("[]", "[]", "1", "false"),
      RowText(R"({"v1":-4})", "[]", "1", "false"),
      RowText(R"({"v1":4})", "[3]", "1", "false"),
      RowText(R"({"v1":4})", "[]", "1e400", "false"),
      RowText(R"({"v1":4})", "[]", "1", R"("no")"),
  };
  cr_assert(ReadsAsRecord(RowText(R"({"v1":4})", "[]", "1", "false")));
  for (const std::string& value : values) {
    RecorderFixture fixture;
    fixture.may_write = false;
    fixture.recorder.MergePeerCopy({{"model", value, 5}});
    cr_assert(fixture.recorder.records().Find("model") == nullptr, "%s",
              value.c_str());
  }
}

Test(version_recorder, unreadable_row_is_replaced_by_a_daemon_that_knows) {
  RecorderFixture fixture;
  fixture.recorder.MergePeerCopy({{"model", "cut", 5}});
  fixture.Update();
  cr_assert_eq(fixture.store.calls.front().after, 5);
}

// Guards against an update of the fleet destroying what newer daemons keep.
Test(version_recorder, row_of_a_newer_layout_is_left_alone) {
  RecorderFixture fixture;
  fixture.recorder.MergePeerCopy({{"model", R"({"layout":2})", 5}});
  fixture.Update();
  cr_assert(fixture.store.calls.empty());
  cr_assert(fixture.recorder.records().Find("model") == nullptr);
}

Test(version_recorder, no_peer_has_the_records_they_are_read) {
  RecorderFixture fixture;
  fixture.may_write = false;
  fixture.recorder.Start(Duration{0});
  RunLoopFor(fixture.loop, milliseconds(20));
  cr_assert_eq(fixture.store.calls.size(), 1);
}

Test(version_recorder, peer_has_the_records_they_are_not_read) {
  RecorderFixture fixture;
  fixture.may_write = false;
  fixture.recorder.Start(milliseconds(10));
  fixture.recorder.MergePeerCopy({RowOf({"v1"}, 5)});
  RunLoopFor(fixture.loop, milliseconds(30));
  cr_assert(fixture.store.calls.empty());
}

Test(version_recorder, question_is_answered_after_a_read) {
  RecorderFixture fixture;
  fixture.may_write = false;
  std::vector<bool> answers;
  FreshnessQuestion question(
      [&answers](bool is_fresh) { answers.push_back(is_fresh); });
  fixture.recorder.AskIfFresh(question);
  RunLoopFor(fixture.loop, milliseconds(5));
  fixture.store.RespondWithRows({RowOf({"v1"}, 5)}, 6);
  cr_assert_eq(answers, std::vector<bool>{true});
  cr_assert(fixture.Has("v1"));
}

Test(version_recorder, store_does_not_answer_the_copy_is_not_fresh) {
  RecorderFixture fixture;
  fixture.may_write = false;
  std::vector<bool> answers;
  FreshnessQuestion question(
      [&answers](bool is_fresh) { answers.push_back(is_fresh); });
  fixture.recorder.AskIfFresh(question);
  RunLoopFor(fixture.loop, milliseconds(5));
  fixture.store.Respond(StoreAnswer{});
  cr_assert_eq(answers, std::vector<bool>{false});
}

Test(version_recorder, row_is_gone_from_the_store_there_is_no_record) {
  RecorderFixture fixture;
  fixture.may_write = false;
  fixture.recorder.MergePeerCopy({RowOf({"v1"}, 5)});
  FreshnessQuestion question([](bool /*is_fresh*/) {});
  fixture.recorder.AskIfFresh(question);
  RunLoopFor(fixture.loop, milliseconds(5));
  fixture.store.RespondWithRows({}, 6);
  cr_assert(fixture.recorder.records().Find("model") == nullptr);
}
