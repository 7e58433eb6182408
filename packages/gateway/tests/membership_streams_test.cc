#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

#include "gentianroute/gateway/membership.h"
#include "virtual_fleet.h"

// Which daemons keep the origins of streams, and which are asked for them. A
// daemon that is asked by nobody keeps them in vain.

using namespace gentianroute;
using namespace gentianroute::gateway;

namespace {

using Shape = VirtualFleet::Shape;
using OriginSearch = Membership::OriginSearch;

constexpr Shape kNine{9, 3, 3, 1};
constexpr Shape kHundreds{195, 6, 3, 2};
constexpr Shape kTargetSize{810, 11, 5, 3};
/// Every such daemon of a fleet is looked at.
constexpr std::size_t kStep = 13;

struct StreamFleet : VirtualFleet {
  explicit StreamFleet(Shape shape)
      : VirtualFleet(shape), daemons(shape.daemons) {
    StartAll();
    AdvanceTime(10 * kSecond);
  }

  std::set<std::string> KeepersOf(std::size_t daemon) {
    return NamesOf(MembershipOf(daemon).StreamOriginKeepers());
  }
  std::set<std::string> SourcesOf(std::size_t daemon) {
    return NamesOf(
        MembershipOf(daemon).StreamOriginSources(OriginSearch::kAll));
  }
  bool AsksAnyOf(std::size_t daemon, const std::set<std::string>& keepers) {
    const auto sources = SourcesOf(daemon);
    return std::ranges::any_of(keepers, [&](const std::string& keeper) {
      return sources.contains(keeper) ||
             keeper == MembershipOf(daemon).own().name;
    });
  }
  const std::string& DataCentreAt(std::size_t daemon) {
    return MembershipOf(daemon).own().data_centre;
  }

  const std::size_t daemons;

 private:
  static std::set<std::string> NamesOf(const Membership::Targets& peers) {
    std::set<std::string> names;
    for (const Membership::Peer* peer : peers) {
      names.insert(peer->state.name);
    }
    return names;
  }
};

/// Loses one daemon and takes its streams up at others of its data centre.
void ExpectFoundInDataCentre(Shape shape) {
  StreamFleet fleet(shape);
  for (std::size_t lost = 0; lost < fleet.daemons; lost += kStep) {
    const auto keepers = fleet.KeepersOf(lost);
    cr_assert_eq(keepers.size(), 3);
    for (std::size_t i = 0; i < fleet.daemons; i += kStep) {
      if (i != lost && fleet.DataCentreAt(i) == fleet.DataCentreAt(lost)) {
        cr_expect(fleet.AsksAnyOf(i, keepers));
      }
    }
  }
}

/// Loses a whole data centre and takes its streams up elsewhere.
void ExpectFoundElsewhere(Shape shape) {
  StreamFleet fleet(shape);
  const std::string lost = fleet.DataCentreAt(0);
  std::set<std::string> keepers;
  for (std::size_t i = 0; i < fleet.daemons; ++i) {
    if (fleet.DataCentreAt(i) == lost) {
      keepers.merge(fleet.KeepersOf(i));
      fleet.Kill(i);
    }
  }
  fleet.AdvanceTime(10 * kSecond);
  for (std::size_t i = 0; i < fleet.daemons; i += kStep) {
    if (fleet.DataCentreAt(i) != lost) {
      cr_expect(fleet.AsksAnyOf(i, keepers));
    }
  }
}

}  // namespace

TestSuite(membership_streams, .timeout = 120);

// Guards against a daemon of the same data centre turning away the callers of a
// lost one because it doesn't ask those that know.
Test(membership_streams, daemon_is_lost_its_data_centre_knows_its_streams) {
  for (const Shape& shape : {kNine, kHundreds, kTargetSize}) {
    ExpectFoundInDataCentre(shape);
  }
}

// Guards against the callers of a lost data centre being turned away elsewhere
// because those that know were lost with it.
Test(membership_streams, data_centre_is_lost_others_know_its_streams) {
  for (const Shape& shape : {kNine, kHundreds}) {
    ExpectFoundElsewhere(shape);
  }
}

// Guards against a search that grows with the fleet where a few answers are
// enough.
Test(membership_streams, fleet_is_large_a_sample_is_small) {
  StreamFleet fleet(kTargetSize);
  cr_assert_leq(
      fleet.MembershipOf(0).StreamOriginSources(OriginSearch::kSample).size(),
      3);
}

// Guards against a daemon handing a request to one that may not send it either.
Test(membership_streams, first_sender_of_a_server_is_among_its_senders) {
  StreamFleet fleet(kNine);
  for (int server = 0; server < 20; ++server) {
    const std::string key = "server-" + std::to_string(server);
    for (std::size_t i = 0; i < fleet.daemons; ++i) {
      const Membership& members = fleet.MembershipOf(i);
      const Membership::Peer* first =
          members.FirstSender(key, "dc-0", "model", {});
      if (first == nullptr) {
        cr_expect(members.IsAmongFirst(key, "dc-0", "model", 1));
        continue;
      }
      const Membership& sender =
          fleet.MembershipOf(fleet.IndexOf(first->state.name));
      cr_expect(sender.IsAmongFirst(key, "dc-0", "model", 1));
    }
  }
}
