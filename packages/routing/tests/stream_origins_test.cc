#include "gentianroute/routing/stream_origins.h"

#include <criterion/criterion.h>

#include <string>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
using Source = StreamOrigins::Source;

BegunStream Stream(const std::string& id, Duration remaining = 6 * kSecond) {
  return {id, {"model", "v1"}, remaining};
}

bool Always(std::string_view /*service*/) {
  return true;
}

StreamOrigin OriginOf(const std::string& version) {
  return {"model", version};
}

}  // namespace

TestSuite(stream_origins);

Test(stream_origins, recorded_stream_is_known_until_its_caller_gives_up) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("a"), Source::kPeer);
  const StreamOrigin* origin = origins.Find(kStart + 5 * kSecond, "a");
  cr_assert_not_null(origin);
  cr_assert(*origin == OriginOf("v1"));
  cr_assert_null(origins.Find(kStart + 6 * kSecond, "a"));
  cr_assert_null(origins.Find(kStart, "b"));
}

// Guards against a stream that is taken up late being forgotten with the
// deadline of the request that began it.
Test(stream_origins, stream_is_recorded_again_it_is_kept_longer) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("a"), Source::kOwn);
  origins.Put(kStart + 5 * kSecond, Stream("a", 2 * kSecond), Source::kOwn);
  origins.Expire(kStart + 6 * kSecond);
  cr_assert_not_null(origins.Find(kStart + 6 * kSecond, "a"));
  cr_assert_eq(origins.size(), 1);
}

Test(stream_origins, expired_streams_are_dropped) {
  StreamOrigins origins;
  for (int i = 0; i < 100; ++i) {
    origins.Put(kStart, Stream(std::to_string(i)), Source::kOwn);
  }
  origins.Expire(kStart + 6 * kSecond);
  cr_assert_eq(origins.size(), 0);
  cr_assert(origins.TakeUntold(kStart + 6 * kSecond, Always).empty());
}

// Guards against callers filling the memory with streams.
Test(stream_origins, too_many_streams_the_first_recorded_yield) {
  StreamOrigins origins;
  for (std::size_t i = 0; i <= StreamOrigins::kMaxStreams; ++i) {
    origins.Put(kStart, Stream(std::to_string(i)), Source::kOwn);
  }
  cr_assert_eq(origins.size(), StreamOrigins::kMaxStreams);
  cr_assert_null(origins.Find(kStart, "0"));
  cr_assert_not_null(origins.Find(kStart, "1"));
}

Test(stream_origins, own_streams_are_told_once_with_the_time_left) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("own"), Source::kOwn);
  origins.Put(kStart, Stream("peer's"), Source::kPeer);
  const auto told = origins.TakeUntold(kStart + kSecond, Always);
  cr_assert_eq(told.size(), 1);
  cr_assert(told[0].id == "own");
  cr_assert_eq(told[0].remaining.count(), Duration(5 * kSecond).count());
  cr_assert(origins.TakeUntold(kStart + kSecond, Always).empty());
}

// Guards against streams staying unknown to the peers that began while there
// was nothing to tell them.
Test(stream_origins, service_becomes_due_its_earlier_streams_are_told) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("a"), Source::kOwn);
  const auto never = [](std::string_view) { return false; };
  cr_assert(origins.TakeUntold(kStart, never).empty());
  cr_assert_eq(origins.TakeUntold(kStart, Always).size(), 1);
}

// Guards against a stream that has broken twice being known only to peers that
// were told of it first, and may be gone.
Test(stream_origins, stream_is_taken_up_by_another_daemon_it_is_told_again) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("a"), Source::kPeer);
  origins.Put(kStart, Stream("a"), Source::kOwn);
  cr_assert_eq(origins.TakeUntold(kStart, Always).size(), 1);
}

TestSuite(origin_reports);

Test(origin_reports, recorded_origin_outweighs_everything) {
  OriginReports reports;
  reports.Add({OriginEvidence::kSeveralVersions, {}});
  reports.Add({OriginEvidence::kRecorded, {"model", "v2"}});
  reports.Add({OriginEvidence::kOneVersion, {"model", "v1"}});
  cr_assert(reports.is_certain());
  cr_assert(reports.Origin() == OriginOf("v2"));
}

// Guards against going on at the only version that an outdated daemon knows.
Test(origin_reports, one_daemon_knows_of_several_versions_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1"), OriginOf("v1")});
  reports.Add({OriginEvidence::kSeveralVersions, {}});
  cr_assert_not(reports.Origin().has_value());
}

// Guards against the same where each daemon knows of one version, but not of
// the same one.
Test(origin_reports, daemons_know_of_different_versions_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1"), OriginOf("v1")});
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v2")});
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  cr_assert_not(reports.Origin().has_value());
}

Test(origin_reports, only_one_version_is_confirmed_it_is_the_origin) {
  OriginReports reports;
  cr_assert_not(reports.Origin().has_value());
  reports.Add({});
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1"), OriginOf("v1")});
  cr_assert(reports.Origin() == OriginOf("v1"));
  cr_assert_not(reports.is_certain());
}

// Guards against going on at the version that was the only one when the daemon
// last heard from the store.
Test(origin_reports, only_version_is_not_confirmed_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  cr_assert_not(reports.Origin().has_value());
}

// Guards against the same where the daemon itself has found out, by asking the
// store, that servers may have come and gone unseen.
Test(origin_reports, daemon_takes_its_belief_back_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  reports.Add({OriginEvidence::kNone, {}, OriginOf("v1")});
  cr_assert_not(reports.Origin().has_value());
}

// Guards against the same where that version has been replaced since.
Test(origin_reports, another_version_serves_now_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  reports.Add({OriginEvidence::kNone, {}, OriginOf("v2")});
  cr_assert_not(reports.Origin().has_value());
}

// Guards against a version that nobody has seen for long enough to know that no
// other one was there before.
Test(origin_reports, one_version_serves_its_past_is_unknown_no_origin) {
  OriginReports reports;
  reports.Add({OriginEvidence::kNone, {}, OriginOf("v1")});
  cr_assert_not(reports.Origin().has_value());
}

Test(origin_reports, stores_answers_differ_origin_is_unknown) {
  OriginReports reports;
  reports.Add({OriginEvidence::kOneVersion, OriginOf("v1")});
  reports.Add({OriginEvidence::kNone, {}, OriginOf("v2")});
  reports.Add({OriginEvidence::kNone, {}, OriginOf("v1")});
  cr_assert_not(reports.Origin().has_value());
}

// Guards against a peer that has taken the place of another one lacking the
// streams that the other was told of.
Test(stream_origins, streams_told_of_are_shared_with_a_new_peer) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("a"), Source::kOwn);
  origins.Put(kStart, Stream("of a peer"), Source::kPeer);
  cr_assert_eq(origins.TakeUntold(kStart, Always).size(), 1);
  const auto shared = origins.ToShare(kStart + kSecond, Always);
  cr_assert_eq(shared.size(), 1);
  cr_assert_eq(shared.front().id, "a");
  cr_assert(shared.front().remaining == 5 * kSecond);
  cr_assert(origins.ToShare(kStart + 6 * kSecond, Always).empty());
}

// Guards against what a daemon keeps for others ending with it.
Test(stream_origins, daemon_leaves_peers_are_told_of_all_streams) {
  StreamOrigins origins;
  origins.Put(kStart, Stream("of a peer"), Source::kPeer);
  cr_assert(origins.TakeUntold(kStart, Always).empty());
  origins.OnLeaving();
  cr_assert_eq(origins.TakeUntold(kStart, Always).size(), 1);
  origins.Put(kStart, Stream("told while it leaves"), Source::kPeer);
  cr_assert_eq(origins.TakeUntold(kStart, Always).size(), 1);
  cr_assert_eq(origins.ToShare(kStart, Always).size(), 2);
}
