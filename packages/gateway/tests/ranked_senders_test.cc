// Requests to one server with a limited rate from all daemons of a fleet in
// virtual time, each of which has more requests than the server bears.

#include "gentianroute/gateway/ranked_senders.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "gentianroute/routing/cold_server_limiter.h"
#include "gentianroute/routing/request_rate_limiter.h"
#include "virtual_fleet.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

using Shape = VirtualFleet::Shape;

constexpr Duration kStep = 10 * kMs;
constexpr Duration kLimitedTime = 60 * kSecond;

/// Why the rate of a server is limited.
struct LimitKind {
  double requests_per_second = 0;
  routing::RateTolerance tolerance;
  /// Makes a daemon know that the rate is limited.
  void (*learn)(TimePoint now, routing::Server& server);

  double bound() const {
    return requests_per_second * Seconds(tolerance.window) *
               tolerance.overshoot +
           tolerance.slack;
  }
};

constexpr LimitKind kColdServer{11,
                                {1.5, 5, kSecond},
                                [](TimePoint now, routing::Server& server) {
                                  server.warm_up().OnReport(now, kLimitedTime);
                                }};
constexpr double kNamedRate = 1.2;
constexpr LimitKind kNamedLimit{kNamedRate,
                                {1.5, 5, 4 * kSecond},
                                [](TimePoint now, routing::Server& server) {
                                  server.request_limit().OnAnswer(now, now,
                                                                  kNamedRate);
                                }};

/// The limiters of each daemon, and the arrivals at the server.
class LimitedServerLoad {
 public:
  LimitedServerLoad(VirtualFleet& fleet, const LimitKind& kind)
      : fleet_(fleet), kind_(kind) {
    service_.name = "model";
    service_.warm_up = {3 * kSecond, kind.requests_per_second};
  }

  /// Every daemon learns of the limit, at times up to a second apart, and sends
  /// as much as its limiters allow.
  void Run(Duration time) {
    const TimePoint end = fleet_.now() + time;
    while (fleet_.now() < end) {
      fleet_.AdvanceTime(kStep);
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        if (fleet_.runs(i)) {
          TrySend(i);
        }
      }
    }
  }
  /// A restarted daemon knows nothing of what it sent before.
  void Forget(std::size_t i) { views_.erase(i); }
  std::size_t arrivals() const { return arrivals_.size(); }
  /// Most arrivals in any window of the limit.
  std::size_t MostInWindow() const {
    return MostInAnyWindow(arrivals_, kind_.tolerance.window);
  }

 private:
  struct View {
    std::unique_ptr<RankedSenders> senders;
    std::unique_ptr<routing::ColdServerLimiter> cold_servers;
    std::unique_ptr<routing::RequestRateLimiter> request_rates;
    routing::ServerPtr server;
  };

  View& ViewOf(std::size_t i) {
    View& view = views_[i];
    if (view.server == nullptr) {
      view.senders = std::make_unique<RankedSenders>(fleet_.MembershipOf(i));
      view.cold_servers = std::make_unique<routing::ColdServerLimiter>(
          kind_.tolerance, *view.senders);
      view.cold_servers->SetServices({&service_, 1});
      view.request_rates = std::make_unique<routing::RequestRateLimiter>(
          kind_.tolerance, *view.senders);
      routing::ServerRecord record;
      record.id = "limited";
      record.service = service_.name;
      record.data_centre = fleet_.DataCentre(1);
      view.server = new routing::Server(record);
      kind_.learn(fleet_.now(), *view.server);
    }
    return view;
  }
  void TrySend(std::size_t i) {
    View& view = ViewOf(i);
    const TimePoint now = fleet_.now();
    while (view.cold_servers->MaySend(now, *view.server) &&
           view.request_rates->MaySend(now, *view.server)) {
      view.server->OnSent(now);
      arrivals_.push_back(fleet_.now());
    }
  }

  VirtualFleet& fleet_;
  const LimitKind& kind_;
  routing::ServiceSpec service_;
  std::map<std::size_t, View> views_;
  std::vector<TimePoint> arrivals_;
};

struct LimitedServerFixture {
  explicit LimitedServerFixture(Shape shape,
                                const LimitKind& kind = kColdServer)
      : fleet(shape), load(fleet, kind) {
    fleet.StartAll();
    fleet.AdvanceTime(2 * kSecond);
  }
  VirtualFleet fleet;
  LimitedServerLoad load;
};

constexpr Shape kShapes[] = {{9, 3, 3, 1},
                             {65, 6, 3, 2},
                             {300, 6, 3, 3},
                             {810, 11, 5, 4}};

/// Kills and restarts daemons one after the other while datagrams are lost.
void RestartSenders(LimitedServerFixture& fixture, std::uint64_t seed) {
  constexpr int kRestarts = 8;
  fixture.fleet.SetLossRate(0.1);
  std::mt19937_64 random(seed);
  for (int i = 0; i < kRestarts; ++i) {
    const std::size_t lost = random() % fixture.fleet.size();
    fixture.fleet.Kill(lost);
    fixture.load.Run(200 * kMs);
    fixture.load.Forget(lost);
    fixture.fleet.Start(lost);
    fixture.load.Run(200 * kMs);
  }
}

void CheckRestartedSenders(const LimitKind& kind) {
  for (const Shape shape : kShapes) {
    const std::uint64_t seeds = shape.daemons < 100 ? 5 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Shape seeded = shape;
      seeded.seed = seed;
      LimitedServerFixture fixture(seeded, kind);
      RestartSenders(fixture, seed);
      cr_assert_leq(fixture.load.MostInWindow(), kind.bound(),
                    "%zu daemons, seed %zu: %zu", shape.daemons,
                    static_cast<std::size_t>(seed),
                    fixture.load.MostInWindow());
    }
  }
}

}  // namespace

TestSuite(cold_senders);
TestSuite(named_limit_senders);

// Guards against a fleet that sends nothing to a cold server, or too much, at
// any number of daemons.
Test(cold_senders, calm_fleet_of_any_size_uses_the_rate_within_the_bound) {
  for (const Shape shape : kShapes) {
    LimitedServerFixture fixture(shape);
    fixture.load.Run(3 * kSecond);
    cr_assert_leq(fixture.load.MostInWindow(), kColdServer.bound(),
                  "%zu daemons: %zu", shape.daemons,
                  fixture.load.MostInWindow());
    // More than a warm server gets on average.
    cr_assert_geq(fixture.load.arrivals(), 3 * 5, "%zu daemons: %zu",
                  shape.daemons, fixture.load.arrivals());
  }
}

// Guards against daemons that disagree about who lives, while senders are
// killed and restarted and datagrams are lost.
Test(cold_senders, senders_killed_and_restarted_stay_within_the_bound) {
  CheckRestartedSenders(kColdServer);
}

// Guards against a fleet of which every daemon restarts at once, knows no other
// daemon yet, and takes itself for the only sender.
Test(cold_senders, whole_fleet_restarts_stays_within_the_bound) {
  for (const Shape shape : kShapes) {
    LimitedServerFixture fixture(shape);
    for (std::size_t i = 0; i < shape.daemons; ++i) {
      fixture.fleet.Kill(i);
      fixture.load.Forget(i);
    }
    fixture.fleet.StartAll();
    fixture.load.Run(2 * kSecond);
    cr_assert_leq(fixture.load.MostInWindow(), kColdServer.bound(),
                  "%zu daemons: %zu", shape.daemons,
                  fixture.load.MostInWindow());
  }
}

// Guards against a data centre that is cut off from the others: nobody outside
// becomes a sender in its place.
Test(cold_senders, data_centre_lost_nobody_elsewhere_sends) {
  LimitedServerFixture fixture({65, 6, 3, 2});
  for (std::size_t i = 1; i < fixture.fleet.size(); i += 6) {
    fixture.fleet.Kill(i);
  }
  fixture.load.Run(5 * kSecond);
  cr_assert_eq(fixture.load.arrivals(), 0);
}

// Guards against daemons that each keep to the whole limit of a server, and
// against parts of it that are too small to be of use, at any number of
// daemons.
Test(named_limit_senders, fleet_of_any_size_uses_the_limit_within_the_bound) {
  for (const Shape shape : kShapes) {
    LimitedServerFixture fixture(shape, kNamedLimit);
    fixture.load.Run(12 * kSecond);
    cr_assert_leq(fixture.load.MostInWindow(), kNamedLimit.bound(),
                  "%zu daemons: %zu", shape.daemons,
                  fixture.load.MostInWindow());
    // Half of the limit.
    cr_assert_geq(fixture.load.arrivals(), 7, "%zu daemons: %zu", shape.daemons,
                  fixture.load.arrivals());
  }
}

Test(named_limit_senders, senders_killed_and_restarted_stay_within_the_bound) {
  CheckRestartedSenders(kNamedLimit);
}
