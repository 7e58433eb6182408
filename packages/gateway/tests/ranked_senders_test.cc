// Requests to one cold server from all daemons of a fleet in virtual time, each
// of which has more requests than the server bears.

#include "gentianroute/gateway/ranked_senders.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "virtual_fleet.h"

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

using Shape = VirtualFleet::Shape;

constexpr double kRequestsPerSecond = 11;
constexpr routing::RateTolerance kTolerance{1.5, 5};
constexpr double kBound = 11 * 1.5 + 5;
constexpr Duration kStep = 10 * kMs;

/// The limiter of each daemon, and the arrivals at the cold server.
class ColdServerLoad {
 public:
  explicit ColdServerLoad(VirtualFleet& fleet) : fleet_(fleet) {
    service_.name = "model";
    service_.warm_up = {3 * kSecond, kRequestsPerSecond};
  }

  /// Every daemon learns that the server is cold, at times up to a second
  /// apart, and sends as much as its limiter allows.
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
  /// Most arrivals in any second.
  std::size_t MaxPerSecond() const { return MostInAnySecond(arrivals_); }

 private:
  struct View {
    std::unique_ptr<RankedSenders> senders;
    std::unique_ptr<routing::ColdServerLimiter> limiter;
    routing::ServerPtr server;
  };

  View& ViewOf(std::size_t i) {
    View& view = views_[i];
    if (view.server == nullptr) {
      view.senders = std::make_unique<RankedSenders>(fleet_.MembershipOf(i));
      view.limiter = std::make_unique<routing::ColdServerLimiter>(
          kTolerance, *view.senders);
      view.limiter->SetServices({&service_, 1});
      routing::ServerRecord record;
      record.id = "cold";
      record.service = service_.name;
      record.data_centre = fleet_.DataCentre(1);
      view.server = new routing::Server(record);
      view.server->warm_up().OnReport(fleet_.now(), 60 * kSecond);
    }
    return view;
  }
  void TrySend(std::size_t i) {
    View& view = ViewOf(i);
    while (view.limiter->MaySend(fleet_.now(), *view.server)) {
      view.server->warm_up().OnSent(fleet_.now());
      arrivals_.push_back(fleet_.now());
    }
  }

  VirtualFleet& fleet_;
  routing::ServiceSpec service_;
  std::map<std::size_t, View> views_;
  std::vector<TimePoint> arrivals_;
};

struct ColdServerFixture {
  explicit ColdServerFixture(Shape shape) : fleet(shape), load(fleet) {
    fleet.StartAll();
    fleet.AdvanceTime(2 * kSecond);
  }
  VirtualFleet fleet;
  ColdServerLoad load;
};

constexpr Shape kShapes[] = {{9, 3, 3, 1},
                             {65, 6, 3, 2},
                             {300, 6, 3, 3},
                             {810, 11, 5, 4}};

}  // namespace

TestSuite(cold_senders);

// Guards against a fleet that sends nothing to a cold server, or too much, at
// any number of daemons.
Test(cold_senders, calm_fleet_of_any_size_uses_the_rate_within_the_bound) {
  for (const Shape shape : kShapes) {
    ColdServerFixture fixture(shape);
    fixture.load.Run(3 * kSecond);
    cr_assert_leq(fixture.load.MaxPerSecond(), kBound, "%zu daemons: %zu",
                  shape.daemons, fixture.load.MaxPerSecond());
    // More than a warm server gets on average.
    cr_assert_geq(fixture.load.arrivals(), 3 * 5, "%zu daemons: %zu",
                  shape.daemons, fixture.load.arrivals());
  }
}

// Guards against daemons that disagree about who lives, while senders are
// killed and restarted and datagrams are lost.
Test(cold_senders, senders_killed_and_restarted_stay_within_the_bound) {
  constexpr int kRestarts = 8;
  for (const Shape shape : kShapes) {
    const std::uint64_t seeds = shape.daemons < 100 ? 5 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Shape seeded = shape;
      seeded.seed = seed;
      ColdServerFixture fixture(seeded);
      fixture.fleet.SetLossRate(0.1);
      std::mt19937_64 random(seed);
      for (int i = 0; i < kRestarts; ++i) {
        const std::size_t lost = random() % seeded.daemons;
        fixture.fleet.Kill(lost);
        fixture.load.Run(200 * kMs);
        fixture.load.Forget(lost);
        fixture.fleet.Start(lost);
        fixture.load.Run(200 * kMs);
      }
      cr_assert_leq(fixture.load.MaxPerSecond(), kBound,
                    "%zu daemons, seed %zu: %zu", shape.daemons,
                    static_cast<std::size_t>(seed),
                    fixture.load.MaxPerSecond());
    }
  }
}

// Guards against a fleet of which every daemon restarts at once, knows no other
// daemon yet, and takes itself for the only sender.
Test(cold_senders, whole_fleet_restarts_stays_within_the_bound) {
  for (const Shape shape : kShapes) {
    ColdServerFixture fixture(shape);
    for (std::size_t i = 0; i < shape.daemons; ++i) {
      fixture.fleet.Kill(i);
      fixture.load.Forget(i);
    }
    fixture.fleet.StartAll();
    fixture.load.Run(2 * kSecond);
    cr_assert_leq(fixture.load.MaxPerSecond(), kBound, "%zu daemons: %zu",
                  shape.daemons, fixture.load.MaxPerSecond());
  }
}

// Guards against a data centre that is cut off from the others: nobody outside
// becomes a sender in its place.
Test(cold_senders, data_centre_lost_nobody_elsewhere_sends) {
  ColdServerFixture fixture({65, 6, 3, 2});
  for (std::size_t i = 1; i < fixture.fleet.size(); i += 6) {
    fixture.fleet.Kill(i);
  }
  fixture.load.Run(5 * kSecond);
  cr_assert_eq(fixture.load.arrivals(), 0);
}
