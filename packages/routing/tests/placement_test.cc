#include "gentianroute/routing/placement.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

#include "gentianroute/routing/server_choice.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

ServiceSpec ServiceWithColdRate(double requests_per_second) {
  ServiceSpec service;
  service.name = "stage";
  service.warm_up = {3 * kSecond, requests_per_second};
  return service;
}

}  // namespace

TestSuite(placement);

Test(placement, regions_unlimited_everything_is_permitted) {
  const PermittedRegions all;
  cr_assert(all.Permits("N"));
  cr_assert(all.PermitsAll());
  cr_assert(all.IntersectedWith(PermittedRegions({"N"})) ==
            PermittedRegions({"N"}));
}

Test(placement, both_sides_limited_only_common_regions_are_permitted) {
  const PermittedRegions route({"N", "S"});
  const PermittedRegions organisation({"S", "W"});
  const PermittedRegions both = route.IntersectedWith(organisation);
  cr_assert_not(both.Permits("N"));
  cr_assert(both.Permits("S"));
  cr_assert_not(both.Permits("W"));
}

// Guards against an empty intersection being read as "no limit".
Test(placement, no_common_region_nothing_is_permitted) {
  const PermittedRegions none =
      PermittedRegions({"N"}).IntersectedWith(PermittedRegions({"S"}));
  cr_assert(none.PermitsNone());
  cr_assert_not(none.Permits("N"));
  cr_assert_not(none.IntersectedWith(PermittedRegions()).Permits("S"));
}

Test(placement, data_centre_in_permitted_region_is_accepted) {
  PlacementFixture fixture;
  fixture.PermitOnly({"N"});
  cr_assert(fixture.placement.Accepts("north"));
  cr_assert(fixture.placement.Accepts("north-b"));
  cr_assert(fixture.placement.Check("south") ==
            PlacementVerdict::kOutsideRegions);
}

Test(placement, evacuation_ends_and_begins_again_verdict_follows) {
  PlacementFixture fixture;
  for (int i = 0; i < 2; ++i) {
    cr_assert(fixture.rules.evacuations.Begin("north"));
    cr_assert_not(fixture.rules.evacuations.Begin("north"));
    cr_assert(fixture.placement.Check("north") == PlacementVerdict::kEvacuated);
    cr_assert(fixture.placement.PermitsDataIn("north"));
    cr_assert(fixture.rules.evacuations.End("north"));
    cr_assert(fixture.placement.Accepts("north"));
  }
  cr_assert_not(fixture.rules.evacuations.End("north"));
}

// Guards against a herd on a server that has just started.
Test(placement, cold_server_accepts_requests_at_intervals) {
  PlacementFixture fixture;
  const ServiceSpec service = ServiceWithColdRate(11);
  fixture.rules.cold_servers.SetServices({&service, 1});
  const Duration interval = SenderShare::Of(11, {}).interval;
  const ServerPtr server = MakeServer("a");
  server->warm_up().OnReport(kStart, 3 * kSecond);
  TimePoint now = kStart + interval;
  cr_assert(fixture.placement.Check(kStart, *server) ==
            PlacementVerdict::kCold);
  cr_assert(fixture.placement.Check(now, *server) ==
            PlacementVerdict::kAccepted);
  server->warm_up().OnSent(now);
  cr_assert(fixture.placement.Check(now, *server) == PlacementVerdict::kCold);
  now += interval;
  cr_assert(fixture.placement.Check(now, *server) ==
            PlacementVerdict::kAccepted);
}

Test(placement, cold_server_of_other_senders_is_not_used_until_it_is_warm) {
  PlacementFixture fixture;
  const ServiceSpec service = ServiceWithColdRate(11);
  fixture.rules.cold_servers.SetServices({&service, 1});
  fixture.senders.is_sender = false;
  const ServerPtr server = MakeServer("a");
  server->warm_up().OnReport(kStart, 3 * kSecond);
  cr_assert(fixture.placement.Check(kStart + 2 * kSecond, *server) ==
            PlacementVerdict::kCold);
  cr_assert(fixture.placement.Check(kStart + 3 * kSecond, *server) ==
            PlacementVerdict::kAccepted);
}

// Guards against an old report that says "warm" ending a suspicion: the server
// may have written it before it turned cold.
Test(placement, suspected_server_reports_warm_it_stays_cold) {
  PlacementFixture fixture;
  const ServiceSpec service = ServiceWithColdRate(11);
  fixture.rules.cold_servers.SetServices({&service, 1});
  const ServerPtr server = MakeServer("a");
  fixture.rules.cold_servers.Suspect(kStart, *server);
  server->warm_up().OnReport(kStart + 10 * kMs, Duration{0});
  cr_assert(server->warm_up().IsCold(kStart + 3 * kSecond));
  cr_assert_not(server->warm_up().IsCold(kStart + 6 * kSecond));
}

Test(placement, service_without_cold_rate_is_not_limited) {
  PlacementFixture fixture;
  const ServiceSpec service = ServiceWithColdRate(0);
  fixture.rules.cold_servers.SetServices({&service, 1});
  fixture.senders.is_sender = false;
  const ServerPtr server = MakeServer("a");
  server->warm_up().OnReport(kStart, 3 * kSecond);
  cr_assert(fixture.placement.Check(kStart, *server) ==
            PlacementVerdict::kAccepted);
}

// Guards against a division of the rate that can exceed the bound when two sets
// of senders are active.
Test(placement, any_cold_rate_two_sets_of_senders_stay_within_the_bound) {
  for (const double rate : {0.5, 1.0, 2.0, 5.0, 11.0, 40.0, 200.0}) {
    for (const RateTolerance tolerance :
         {RateTolerance{1.5, 5}, RateTolerance{1.0, 4},
          RateTolerance{2.0, 0}}) {
      const SenderShare share = SenderShare::Of(rate, tolerance);
      cr_assert(share.interval > Duration{0});
      const double bound = rate * tolerance.overshoot + tolerance.slack;
      const double in_one_second = 2.0 * static_cast<double>(share.senders) *
                                   (1.0 + 1.0 / Seconds(share.interval));
      // A sender can't send less than one request.
      cr_assert_leq(in_one_second, std::max(bound + 1e-3, 4.0 + rate),
                    "rate %f: %f > %f", rate, in_one_second, bound);
    }
  }
}

// Guards against any combination of limits and loads for which a server is
// chosen that the placement does not accept.
Test(placement, random_limits_chosen_server_is_always_accepted) {
  const std::vector<std::string> data_centres = {"north", "north-b", "south"};
  const std::vector<std::vector<std::string>> regions = {
      {}, {"N"}, {"S"}, {"N", "S"}, {"elsewhere"}};
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&random](std::size_t limit) {
      return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    PlacementFixture fixture;
    const ServiceSpec service = ServiceWithColdRate(11);
    fixture.rules.cold_servers.SetServices({&service, 1});
    fixture.senders.is_sender = below(2) == 0;
    fixture.placement = Placement(
        fixture.rules,
        PermittedRegions(regions[below(regions.size())])
            .IntersectedWith(PermittedRegions(regions[below(regions.size())])));
    for (const std::string& data_centre : data_centres) {
      if (below(3) == 0) {
        fixture.rules.evacuations.Begin(data_centre);
      }
    }
    std::vector<ServerPtr> servers;
    for (int i = 0; i < 8; ++i) {
      servers.push_back(MakeServer("s" + std::to_string(i),
                                   data_centres[below(data_centres.size())],
                                   4));
      servers.back()->own().calls = static_cast<double>(below(9));
      if (below(3) == 0) {
        servers.back()->warm_up().OnReport(kStart, 3 * kSecond);
      }
    }
    Prompt prompt;
    prompt.tokens_in = 9000;
    prompt.parts = {{"common", 2500}, {"subject", 3800}, {"own", 2900}};
    const TimePoint now = kStart + below(4) * kSecond;
    const bool any_accepted =
        std::any_of(servers.begin(), servers.end(), [&](const auto& server) {
          return fixture.placement.Check(now, *server) ==
                 PlacementVerdict::kAccepted;
        });
    for (const ServerChoice& choice :
         {ChoosePlainServer(now, servers, fixture.placement, {}, {},
                            fixture.topology),
          ChooseModelServer(now, servers, fixture.placement, {}, prompt, {},
                            {4, 450'000}, {}, fixture.topology)}) {
      cr_assert_eq(choice.server != nullptr, any_accepted, "seed %u", seed);
      cr_assert(choice.server == nullptr ||
                    fixture.placement.Check(now, *choice.server) ==
                        PlacementVerdict::kAccepted,
                "seed %u", seed);
    }
  }
}

// Guards against a stream going on at servers that write other events than
// those that began it.
Test(placement, request_is_bound_to_a_version_only_its_servers_are_accepted) {
  PlacementFixture fixture;
  ServerRecord record = MakeServer("a")->record();
  record.software_version = "v1";
  const ServerPtr server(new Server(record));
  fixture.placement.BindTo({record.service, "v2"});
  cr_assert(fixture.placement.Check(kStart, *server) ==
            PlacementVerdict::kOtherVersion);
  cr_assert_not(HasPlace({{server}}, fixture.placement));
  fixture.placement.BindTo({record.service, "v1"});
  cr_assert(fixture.placement.Check(kStart, *server) ==
            PlacementVerdict::kAccepted);
}

// Guards against the stages of a stream being refused, whose servers have
// versions of their own.
Test(placement, request_is_bound_to_a_version_other_services_are_accepted) {
  PlacementFixture fixture;
  fixture.placement.BindTo({"model", "v2"});
  cr_assert(fixture.placement.Check(kStart, *MakeServer("a")) ==
            PlacementVerdict::kAccepted);
}

// Guards against a new deployment releasing a stream from its version.
Test(placement, regions_change_request_stays_bound) {
  PlacementFixture fixture;
  const ServerPtr server = MakeServer("a");
  fixture.placement.BindTo({server->record().service, "v2"});
  fixture.placement.SetRegions(PermittedRegions({"N"}));
  cr_assert(fixture.placement.Check(kStart, *server) ==
            PlacementVerdict::kOtherVersion);
}
