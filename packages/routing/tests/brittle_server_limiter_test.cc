#include "gentianroute/routing/brittle_server_limiter.h"

#include <criterion/criterion.h>

#include <optional>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr double kBearable = 5;
constexpr std::uint32_t kSlots = 6;

struct BrittleServerFixture : PlacementFixture {
  ServerPtr server = MakeServer("a", "north", kSlots);
  BrittleServices& services = rules.brittle_servers.services();

  BrittleServerFixture() { Tell(kStart, kBearable); }

  bool Tell(TimePoint now, std::optional<double> bearable) {
    return services.OnAnswer(now, now, "stage", bearable);
  }
  PlacementVerdict CheckWith(double own, double peers) {
    server->own().calls = own;
    server->peers().calls = peers;
    return placement.Check(kStart, *server);
  }
};

}  // namespace

TestSuite(brittle_server);

// Guards against daemons that each take a server's slots for their own.
Test(brittle_server, three_daemons_beside_it_each_takes_a_third) {
  BrittleServerFixture fixture;
  fixture.senders.beside = 3;
  cr_assert(fixture.CheckWith(1, 0) == PlacementVerdict::kAccepted);
  cr_assert(fixture.CheckWith(2, 0) == PlacementVerdict::kNoRoom);
}

// Guards against the server being filled by others, beyond their parts.
Test(brittle_server, peers_have_filled_it_nothing_is_sent) {
  BrittleServerFixture fixture;
  cr_assert(fixture.CheckWith(0, kSlots) == PlacementVerdict::kNoRoom);
}

// Guards against one request from each of many daemons.
Test(brittle_server, more_daemons_than_slots_only_senders_send) {
  BrittleServerFixture fixture;
  fixture.senders.beside = 100;
  cr_assert(fixture.CheckWith(0, 0) == PlacementVerdict::kAccepted);
  fixture.senders.is_sender = false;
  cr_assert(fixture.CheckWith(0, 0) == PlacementVerdict::kNotSender);
}

Test(brittle_server, request_was_rejected_server_gets_nothing_for_a_time) {
  BrittleServerFixture fixture;
  fixture.server->OnRejected(kStart);
  cr_assert(fixture.CheckWith(0, 0) == PlacementVerdict::kNoRoom);
  const TimePoint later =
      kStart + BrittleServerLimiter::kRejectionHold + Duration{1};
  cr_assert(fixture.placement.Check(later, *fixture.server) ==
            PlacementVerdict::kAccepted);
}

Test(brittle_server, answer_no_longer_says_so_all_slots_may_be_used) {
  BrittleServerFixture fixture;
  fixture.senders.beside = 3;
  cr_assert(fixture.Tell(kStart + kMs, std::nullopt));
  cr_assert(fixture.CheckWith(2, 0) == PlacementVerdict::kAccepted);
}

// Guards against an answer to a request from before the servers became brittle
// ending that state.
Test(brittle_server, late_answer_to_an_earlier_request_it_stays_brittle) {
  BrittleServerFixture fixture;
  cr_assert_not(fixture.services.OnAnswer(kStart + kMs, kStart - kMs, "stage",
                                          std::nullopt));
  cr_assert(fixture.services.Contains("stage"));
}

// Guards against a daemon that gets no answers of the service not knowing it.
Test(brittle_server, peer_tells_of_it_service_is_brittle) {
  BrittleServices services;
  cr_assert(services.OnPeerReport(kStart, "plain", {kBearable, Duration{0}}));
  cr_assert(services.Contains("plain"));
  cr_assert_not(services.OnPeerReport(kStart, "plain", {std::nullopt, kMs}),
                "older news");
  cr_assert(services.Contains("plain"));
  std::size_t reports = 0;
  services.ForEachReport(kStart, [&](auto, const auto&) { ++reports; });
  cr_assert_eq(reports, 0, "what a peer has told is passed on");
}
