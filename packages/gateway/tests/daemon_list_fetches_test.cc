#include "gentianroute/gateway/daemon_list_fetches.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

#include "virtual_fleet.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

/// A daemon with a neighbour, in one of two data centres.
struct ListFixture {
  Membership members{kStart,
                     StateOf("self", "north"),
                     {{"north", "N"}, {"south", "S"}},
                     1};
  DaemonListFetches fetches{members};

  ListFixture() { Hear("neighbour", "north", 2); }

  static DaemonState StateOf(const std::string& name,
                             const std::string& data_centre) {
    DaemonState state;
    state.name = name;
    state.data_centre = data_centre;
    state.incarnation = 1;
    state.heartbeat_interval = kSecond;
    return state;
  }
  const Membership::Peer& Hear(const std::string& name,
                               const std::string& data_centre,
                               std::size_t known_daemons) {
    DaemonState state = StateOf(name, data_centre);
    state.known_daemons = known_daemons;
    members.OnHeartbeat(kStart, state);
    return *members.Find(name);
  }
};

}  // namespace

Test(daemon_list_fetches, only_a_longer_list_is_fetched) {
  ListFixture fixture;
  const Membership::Peer& peer = *fixture.members.Find("neighbour");
  cr_assert(!fixture.fetches.UntilFetchFrom(kStart, peer));
  fixture.Hear("neighbour", "north", 3);
  cr_assert(fixture.fetches.UntilFetchFrom(kStart, peer) == Duration{0});
}

// All daemons start together, and each heartbeat names one more daemon.
Test(daemon_list_fetches, lists_are_fetched_at_most_ten_times_a_second) {
  ListFixture fixture;
  const Membership::Peer& peer = fixture.Hear("neighbour", "north", 9);
  fixture.fetches.OnFetch(kStart);
  cr_assert(fixture.fetches.UntilFetchFrom(kStart, peer) == 100 * kMs);
}

Test(daemon_list_fetches, fetches_for_lack_of_contact_become_rare) {
  ListFixture fixture;
  TimePoint now = kStart;
  std::size_t fetched = 0;
  for (; now < kStart + std::chrono::minutes(10); now += 100 * kMs) {
    if (fixture.fetches.IsContactFetchDue(now)) {
      fixture.fetches.OnFetch(now);
      ++fetched;
    }
  }
  cr_assert_geq(fetched, 10);
  cr_assert_leq(fetched, 25);
  fixture.Hear("elsewhere", "south", 3);
  cr_assert(!fixture.fetches.IsContactFetchDue(now + std::chrono::hours(1)));
  fixture.members.OnUnreachable("elsewhere");
  cr_assert(fixture.fetches.IsContactFetchDue(now + std::chrono::hours(1)));
}
