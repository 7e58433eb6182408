#include "gentianroute/routing/server_reach.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

using Criterion = ServerReach::Criterion;

constexpr std::size_t kServers = 10;
constexpr std::size_t kProbed = ServerReach::kProbes;
constexpr TimePoint kNow{std::chrono::seconds(100)};

ServerPtr MakeServer(const std::string& id, const std::string& data_centre) {
  ServerRecord record;
  record.id = id;
  record.data_centre = data_centre;
  return ServerPtr(new Server(std::move(record)));
}

}  // namespace

TestSuite(server_reach);

Test(server_reach, one_server_fails_nothing_is_probed) {
  ServerReach reach(Criterion::kAny);
  reach.OnNotConnected(kNow, "a");
  reach.OnNotConnected(kNow, "a");
  cr_assert_not(reach.NeedsProbes(kNow, kServers));
}

Test(server_reach, two_servers_refuse_they_are_probed_once_at_a_time) {
  ServerReach reach(Criterion::kAny);
  reach.OnNotConnected(kNow, "a");
  reach.OnNotConnected(kNow, "b");
  cr_assert(reach.NeedsProbes(kNow, kServers));
  reach.OnProbesStarted(kNow);
  cr_assert_not(reach.NeedsProbes(kNow + ServerReach::kProbePeriod, kServers));
}

// Guards against open connections that outlive a cut hiding that no new one
// gets through.
Test(server_reach, answers_arrive_refused_connections_still_count) {
  ServerReach reach(Criterion::kAny);
  reach.OnNotConnected(kNow, "a");
  reach.OnNotConnected(kNow, "b");
  reach.OnAnswer();
  cr_assert(reach.NeedsProbes(kNow, kServers));
}

Test(server_reach, answer_arrives_silent_servers_no_longer_count) {
  ServerReach reach(Criterion::kAny);
  reach.OnNoAnswer(kNow, "a");
  reach.OnAnswer();
  reach.OnNoAnswer(kNow, "b");
  cr_assert_not(reach.NeedsProbes(kNow, kServers));
}

Test(server_reach, failures_are_old_nothing_is_probed) {
  ServerReach reach(Criterion::kAny);
  reach.OnNotConnected(kNow, "a");
  const TimePoint later = kNow + 2 * ServerReach::kFailureMemory;
  reach.OnNotConnected(later, "b");
  cr_assert_not(reach.NeedsProbes(later, kServers));
}

// Guards against servers that crash together being taken for a cut link.
Test(server_reach, one_probe_connects_daemon_is_not_cut_off) {
  ServerReach reach(Criterion::kAny);
  reach.OnProbesStarted(kNow);
  cr_assert_not(reach.OnProbesEnded(kProbed, 1));
  cr_assert_not(reach.is_cut_off());
}

Test(server_reach, no_probe_connects_daemon_is_cut_off_until_one_does) {
  ServerReach reach(Criterion::kAny);
  reach.OnProbesStarted(kNow);
  cr_assert(reach.OnProbesEnded(kProbed, 0));
  cr_assert(reach.is_cut_off());
  const TimePoint next = kNow + ServerReach::kProbePeriod;
  cr_assert(reach.NeedsProbes(next, kServers));
  reach.OnProbesStarted(next);
  cr_assert(reach.OnProbesEnded(kProbed, 1));
  cr_assert_not(reach.is_cut_off());
}

// Guards against a daemon sending all its requests to the one server of a
// service that it still reaches.
Test(server_reach, few_servers_of_a_service_connect_daemon_is_cut_off) {
  ServerReach reach(Criterion::kHalf);
  reach.OnProbesStarted(kNow);
  cr_assert(reach.OnProbesEnded(5, 2));
  cr_assert(reach.is_cut_off());
  reach.OnProbesStarted(kNow + ServerReach::kProbePeriod);
  cr_assert(reach.OnProbesEnded(5, 3));
  cr_assert_not(reach.is_cut_off());
}

Test(server_reach, half_of_the_servers_of_a_service_connect_is_enough) {
  ServerReach reach(Criterion::kHalf);
  reach.OnProbesStarted(kNow);
  cr_assert_not(reach.OnProbesEnded(2, 1));
  cr_assert_not(reach.is_cut_off());
}

// Guards against waiting for probes that hang once the others have told.
Test(server_reach, result_is_certain_before_all_probes_end) {
  const ServerReach any(Criterion::kAny);
  cr_assert(any.IsDecided(5, 1, 0));
  cr_assert_not(any.IsDecided(5, 0, 4));
  cr_assert(any.IsDecided(5, 0, 5));
  const ServerReach half(Criterion::kHalf);
  cr_assert_not(half.IsDecided(5, 2, 2));
  cr_assert(half.IsDecided(5, 3, 0));
  cr_assert(half.IsDecided(5, 0, 3));
}

Test(server_reach, single_server_known_its_failure_is_enough) {
  ServerReach reach(Criterion::kAny);
  reach.OnNotConnected(kNow, "a");
  cr_assert(reach.NeedsProbes(kNow, 1));
  cr_assert_not(reach.NeedsProbes(kNow, 0));
}

// Guards against probes that all go to one data centre, which may be down.
Test(server_reach, servers_in_several_data_centres_each_is_probed) {
  const std::vector<ServerPtr> servers = {
      MakeServer("a", "north"), MakeServer("b", "north"),
      MakeServer("c", "north"), MakeServer("d", "south"),
      MakeServer("e", "east")};
  const std::vector<ServerPtr> probed = ChooseProbed(servers);
  cr_assert_eq(probed.size(), ServerReach::kProbes);
  cr_assert_str_eq(probed[0]->record().id.c_str(), "a");
  cr_assert_str_eq(probed[1]->record().id.c_str(), "d");
  cr_assert_str_eq(probed[2]->record().id.c_str(), "e");
}
