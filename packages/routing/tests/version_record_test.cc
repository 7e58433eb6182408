#include "gentianroute/routing/version_record.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

using std::chrono::seconds;

constexpr Duration kMemory = seconds(40);
constexpr Duration kPropagation = seconds(3);
constexpr std::uint64_t kRoutes = 7;

ServerPtr ServerOf(const std::string& version, std::int64_t started = 100) {
  ServerRecord record;
  record.id = "server of " + version + std::to_string(started);
  record.service = "model";
  record.software_version = version;
  record.started_at_unix_ms = started;
  return ServerPtr(new Server(record));
}

/// A daemon that has watched the list for long, and the store's record.
struct RecordFixture {
  VersionRecords records{kMemory, kPropagation};
  std::vector<ServerPtr> servers{ServerOf("v1")};
  StreamKnowledge knowledge;
  TimePoint now = kStart;

  RecordFixture() {
    knowledge.covers_streams = true;
    knowledge.routes = kRoutes;
    knowledge.data_centre = "north";
  }
  std::optional<VersionRecord> Next() {
    knowledge.servers = servers;
    return records.Next(now, "model", knowledge);
  }
  /// Writes the record as long as it has to change.
  void Write() {
    while (auto next = Next()) {
      records.Set(now, "model", std::move(next));
    }
  }
  /// Makes the first record, and lets all daemons learn it.
  void MakeRecord() {
    Write();
    now += kPropagation;
    Write();
  }
  void SwapTo(const std::string& version, std::int64_t started = 100) {
    servers = {ServerOf(version, started)};
  }
  const VersionRecord& record() const { return *records.Find("model"); }
  bool IsComplete() const { return records.IsComplete("model", servers); }
};

Route StreamRoute(const std::string& prefix, const std::string& service) {
  Route route;
  route.hostname = "h.example";
  route.prefix = prefix;
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.services = {{service, 1}};
  return route;
}

RouteTable TableOf(std::vector<Route> routes) {
  Deployment deployment;
  deployment.routes = std::move(routes);
  return RouteTable(std::move(deployment));
}

}  // namespace

TestSuite(version_record);

Test(version_record, first_record_has_the_listed_versions) {
  RecordFixture fixture;
  fixture.MakeRecord();
  cr_assert(fixture.record().in_use.contains("v1"));
  cr_assert(fixture.IsComplete());
  cr_assert_not(fixture.Next());
}

// Guards against a first record that takes effect late being believed, while
// streams have begun at versions that came after it was sent.
Test(version_record, first_record_is_a_draft_until_all_daemons_know_it) {
  RecordFixture fixture;
  fixture.Write();
  fixture.now += kPropagation - kMs;
  fixture.Write();
  cr_assert_not(fixture.IsComplete());
  fixture.now += kMs;
  fixture.Write();
  cr_assert(fixture.IsComplete());
}

Test(version_record, draft_has_streams_begin_at_its_versions) {
  RecordFixture fixture;
  fixture.Write();
  fixture.servers.push_back(ServerOf("v2"));
  cr_assert_eq(fixture.records.VersionsForNewStreams("model", fixture.servers),
               std::vector<std::string>{"v1"});
}

// Guards against a daemon that has just started vouching for a past that it has
// not seen.
Test(version_record, daemon_without_a_past_makes_no_record) {
  RecordFixture fixture;
  fixture.knowledge.covers_streams = false;
  cr_assert_not(fixture.Next());
}

// Guards against an earlier version being missing in the first record.
Test(version_record, version_that_has_just_gone_is_in_the_first_record) {
  RecordFixture fixture;
  fixture.knowledge.gone = {"v0"};
  fixture.Write();
  cr_assert(fixture.record().in_use.contains("v0"));
}

Test(version_record, new_version_is_added_by_a_daemon_that_has_just_started) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.knowledge.covers_streams = false;
  fixture.servers.push_back(ServerOf("v2"));
  fixture.Write();
  cr_assert(fixture.record().in_use.contains("v1"));
  cr_assert(fixture.record().in_use.contains("v2"));
}

// Guards against a stream beginning at a version that the record lacks, which
// nobody remembers after a loss of all daemons.
Test(version_record, stream_begins_at_a_version_in_use) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.servers.push_back(ServerOf("v2"));
  cr_assert_eq(fixture.records.VersionsForNewStreams("model", fixture.servers),
               std::vector<std::string>{"v1"});
}

// Guards against a release or a lost store turning all new streams away.
Test(version_record, only_a_new_version_serves_streams_begin_there) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.servers.push_back(ServerOf("v2"));
  fixture.servers.front()->SetLeaving();
  cr_assert(
      fixture.records.VersionsForNewStreams("model", fixture.servers).empty());
}

// Guards against streams of a version that could not be recorded, as all
// servers had been replaced by it, being continued at the former one.
Test(version_record,
     servers_are_all_younger_than_the_record_it_is_not_complete) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v1", 200);
  cr_assert_not(fixture.IsComplete());
}

Test(version_record, servers_are_replaced_the_record_follows) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v1", 200);
  fixture.Write();
  cr_assert(fixture.IsComplete());
}

// Guards against the record calling itself complete after streams began at a
// version that was not recorded and all daemons were lost.
Test(version_record, servers_were_replaced_a_new_daemon_does_not_vouch) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v1", 200);
  fixture.knowledge.covers_streams = false;
  fixture.Write();
  cr_assert_not(fixture.IsComplete());
}

// Guards against a version being forgotten while its streams are wanted, or
// before all daemons know that none may begin there.
Test(version_record, version_has_gone_it_retires_and_is_then_dropped) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v2");
  fixture.knowledge.gone = {"v1"};
  fixture.Write();
  cr_assert(fixture.record().in_use.contains("v1"));
  fixture.now += kMemory;
  fixture.knowledge.gone.clear();
  fixture.Write();
  cr_assert_not(fixture.record().in_use.contains("v1"));
  cr_assert(fixture.record().retiring.contains("v1"));
  fixture.now += kMemory - kMs;
  cr_assert_not(fixture.Next());
  fixture.now += kMs;
  fixture.Write();
  cr_assert(fixture.record().retiring.empty());
}

// Guards against streams beginning at a version whose removal is on its way.
Test(version_record, retiring_version_returns_no_stream_begins_there_yet) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v2");
  fixture.Write();
  fixture.servers.push_back(ServerOf("v1"));
  cr_assert_eq(fixture.records.VersionsForNewStreams("model", fixture.servers),
               std::vector<std::string>{"v2"});
  fixture.Write();
  cr_assert(fixture.record().in_use.contains("v1"));
  cr_assert(fixture.record().retiring.empty());
}

Test(version_record, new_daemon_keeps_versions_that_have_gone) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.SwapTo("v2");
  fixture.knowledge.covers_streams = false;
  fixture.Write();
  cr_assert(fixture.record().in_use.contains("v1"));
  cr_assert_eq(fixture.record().VersionsBesides(fixture.servers),
               std::vector<std::string>{"v1"});
}

// Guards against a stream being continued at another service, whose route moved
// while all daemons were lost.
Test(version_record, routes_differ_unseen_they_count_as_moved) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.knowledge.routes = kRoutes + 1;
  fixture.knowledge.covers_streams = false;
  fixture.Write();
  cr_assert(fixture.record().routes_moved);
  fixture.knowledge.covers_streams = true;
  fixture.Write();
  cr_assert_not(fixture.record().routes_moved);
}

// Guards against a record being believed that daemons of an earlier release,
// which begin streams anywhere, have not followed.
Test(version_record, daemon_of_an_earlier_release_lives_it_is_not_complete) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.knowledge.is_unguarded = true;
  fixture.Write();
  cr_assert_not(fixture.IsComplete());
  fixture.knowledge.is_unguarded = false;
  fixture.Write();
  cr_assert(fixture.IsComplete());
}

// Guards against a daemon that has just started taking the mark off again.
Test(version_record, daemon_without_a_past_leaves_the_mark) {
  RecordFixture fixture;
  fixture.MakeRecord();
  fixture.knowledge.is_unguarded = true;
  fixture.Write();
  fixture.knowledge.is_unguarded = false;
  fixture.knowledge.covers_streams = false;
  fixture.Write();
  cr_assert_not(fixture.IsComplete());
}

Test(version_record, other_data_centre_is_unguarded_its_mark_stays) {
  RecordFixture fixture;
  fixture.knowledge.is_unguarded = true;
  fixture.MakeRecord();
  fixture.knowledge.is_unguarded = false;
  fixture.knowledge.data_centre = "south";
  fixture.Write();
  cr_assert_not(fixture.IsComplete());
}

Test(version_record, digest_of_routes_changes_with_those_of_the_host) {
  const RouteTable table = TableOf(
      {StreamRoute("/chat/", "model"), StreamRoute("/chat/long/", "other")});
  const RouteTable dropped = TableOf({StreamRoute("/chat/", "model")});
  cr_assert_neq(DigestOfStreamRoutes(table, "model"),
                DigestOfStreamRoutes(dropped, "model"));
}

Test(version_record, digest_of_routes_does_not_depend_on_their_order) {
  const Route chat = StreamRoute("/chat/", "model");
  const Route draft = StreamRoute("/draft/", "model");
  cr_assert_eq(DigestOfStreamRoutes(TableOf({chat, draft}), "model"),
               DigestOfStreamRoutes(TableOf({draft, chat}), "model"));
}
