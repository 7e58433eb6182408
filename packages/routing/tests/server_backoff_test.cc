#include "gentianroute/routing/server_backoff.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

#include "gentianroute/routing/server_choice.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr Duration kAsked = std::chrono::seconds(3);

/// A server that has just asked for a backoff.
struct BackingOffFixture {
  ServerBackoff backoff;
  BackingOffFixture() { backoff.OnAsked(kStart, kAsked, 0.0); }
};

}  // namespace

TestSuite(server_backoff);

Test(server_backoff, none_asked_for_requests_are_sent) {
  const ServerBackoff backoff;
  cr_assert(backoff.MaySend(kStart));
}

Test(server_backoff, asked_for_nothing_is_sent_until_its_end) {
  BackingOffFixture fixture;
  cr_assert_not(fixture.backoff.MaySend(kStart));
  cr_assert_not(fixture.backoff.MaySend(kStart + kAsked - kMs));
  cr_assert(fixture.backoff.MaySend(kStart + kAsked));
}

// Guards against a second answer that asks for less ending the first backoff.
Test(server_backoff, shorter_one_follows_the_latest_end_counts) {
  BackingOffFixture fixture;
  fixture.backoff.OnAsked(kStart + kMs, kAsked / 10, 0.0);
  cr_assert_not(fixture.backoff.MaySend(kStart + kAsked - kMs));
}

// Guards against the answer to an earlier request, which may take long, ending
// a backoff.
Test(server_backoff, earlier_request_is_answered_backoff_goes_on) {
  BackingOffFixture fixture;
  fixture.backoff.OnAccepted(kStart - kMs);
  cr_assert_not(fixture.backoff.MaySend(kStart + kMs));
}

// Guards against all requests returning at once to a server that is still busy.
Test(server_backoff, end_requests_are_single_until_one_is_answered) {
  BackingOffFixture fixture;
  const TimePoint end = kStart + kAsked;
  fixture.backoff.OnSent(end);
  cr_assert_not(fixture.backoff.MaySend(end + kMs));
  cr_assert(fixture.backoff.MaySend(end + ServerBackoff::kTrialInterval));
  fixture.backoff.OnAccepted(end);
  cr_assert(fixture.backoff.MaySend(end + kMs));
}

// Guards against hundreds of daemons that were all asked in the same moment
// returning in the same moment.
Test(server_backoff, daemons_810_asked_at_once_returns_are_spread) {
  constexpr std::size_t kDaemons = 810;
  constexpr std::size_t kParts = 10;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> spread;
  std::vector<ServerBackoff> daemons(kDaemons);
  for (ServerBackoff& daemon : daemons) {
    daemon.OnAsked(kStart, kAsked, spread(random));
  }
  const Duration spread_time =
      FromSeconds(Seconds(kAsked) * ServerBackoff::kMaxSpread);
  std::vector<std::size_t> returned(kParts);
  for (const ServerBackoff& daemon : daemons) {
    const Duration after = daemon.TimeLeft(kStart) - kAsked;
    cr_assert_geq(after.count(), 0);
    ++returned[std::min<std::size_t>(
        kParts - 1, static_cast<std::size_t>(after * static_cast<int>(kParts) /
                                             spread_time))];
  }
  const std::size_t most = *std::ranges::max_element(returned);
  cr_assert_leq(most, 2 * kDaemons / kParts, "%zu in a tenth of the time",
                most);
}

// Guards against a choice of servers that doesn't ask for the backoff.
Test(server_backoff, servers_are_chosen_one_with_a_backoff_is_not) {
  PlacementFixture fixture;
  const std::vector<ServerPtr> servers = {MakeServer("a"), MakeServer("b")};
  servers[0]->backoff().OnAsked(kStart, kAsked, 0.0);
  const ServiceTimeEstimate estimate;
  const auto choose = [&] {
    return ChoosePlainServer(kStart, servers, fixture.placement, {}, estimate,
                             fixture.topology);
  };
  cr_assert(choose().server == servers[1]);
  cr_assert_eq(BackoffLeft(kStart, servers, fixture.placement).count(), 0);
  servers[1]->backoff().OnAsked(kStart, kAsked / 2, 0.0);
  cr_assert(choose().server == nullptr);
  cr_assert_eq(BackoffLeft(kStart, servers, fixture.placement).count(),
               Duration(kAsked / 2).count());
}

// Guards against work that waits for stage servers which can't be used before
// its deadline.
Test(server_backoff, stage_servers_all_have_one_late_groups_end_at_once) {
  PoolFixture fixture;
  fixture.servers = {MakeServer("a"), MakeServer("b")};
  for (const ServerPtr& server : fixture.servers) {
    server->backoff().OnAsked(kStart, std::chrono::seconds(10), 0.0);
  }
  fixture.Submit("r1", 4);
  cr_assert(fixture.pool.Dispatch(kStart, fixture.servers).empty());
  const auto ended = fixture.pool.TakeFinished();
  cr_assert_eq(ended.size(), 1);
  cr_assert(ended[0].failure == StageFailure::kLate);
  cr_assert_geq(fixture.pool.BacklogAt(kStart).all.count(),
                Duration(std::chrono::seconds(20)).count());
}

Test(server_backoff, stage_servers_have_short_ones_groups_wait) {
  PoolFixture fixture;
  fixture.servers = {MakeServer("a")};
  fixture.servers[0]->backoff().OnAsked(kStart, 500 * kMs, 0.0);
  fixture.Submit("r1", 4);
  cr_assert(fixture.pool.Dispatch(kStart, fixture.servers).empty());
  cr_assert(fixture.pool.TakeFinished().empty());
  cr_assert_eq(
      fixture.pool.Dispatch(kStart + 500 * kMs, fixture.servers).size(), 1);
}
