#include "gentianroute/decision/leaving_server_gossip.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::minutes;

namespace {

HostRecord Listed(const std::string& name, std::uint64_t incarnation) {
  HostRecord host;
  host.name = name;
  host.incarnation = incarnation;
  return host;
}

TimePoint At(int minute) {
  return TimePoint{} + minutes(minute);
}

/// Simulates daemons that exchange digests as PeerLinks does: each exchanges
/// with one random peer in a round, and once a round with two more peers as
/// soon as it learns of a new entry.
class GossipSimulation {
 public:
  GossipSimulation(std::size_t daemons, std::uint64_t seed)
      : rng_(seed), daemons_(daemons), immediate_exchanges_(daemons, 1) {}

  void Learn(std::size_t daemon, const LeavingServer& server) {
    if (daemons_[daemon].Add(server) && immediate_exchanges_[daemon]-- > 0) {
      Exchange(daemon);
      Exchange(daemon);
    }
  }
  void RunRound() {
    immediate_exchanges_.assign(immediate_exchanges_.size(), 1);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Exchange(i);
    }
  }
  std::size_t CountMissing(std::size_t entries) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        daemons_, [entries](const LeavingServerGossip& gossip) {
          return gossip.size() < entries;
        }));
  }

 private:
  void Exchange(std::size_t daemon) {
    const std::size_t peer = rng_() % daemons_.size();
    const auto own_digest = daemons_[daemon].SelectForDigest(At(0));
    const auto peer_digest = daemons_[peer].SelectForDigest(At(0));
    for (const LeavingServer& server : own_digest) {
      Learn(peer, server);
    }
    for (const LeavingServer& server : peer_digest) {
      Learn(daemon, server);
    }
  }

  std::mt19937_64 rng_;
  std::vector<LeavingServerGossip> daemons_;
  std::vector<int> immediate_exchanges_;
};

}  // namespace

// One of 810 daemons learns that a server is leaving, while the host list still
// contains it. The server gets new calls until the last daemon has learned it.
Test(leaving_server_gossip,
     one_leaving_server_is_known_to_810_daemons_in_three_rounds) {
  int max_rounds = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    GossipSimulation simulation(810, seed);
    simulation.Learn(0, {"s", 1});
    int rounds = 0;
    for (; simulation.CountMissing(1) > 0; ++rounds) {
      simulation.RunRound();
    }
    max_rounds = std::max(max_rounds, rounds);
  }
  std::fprintf(stderr, "most rounds: %d\n", max_rounds);
  cr_assert(max_rounds <= 3);
}

// Hundreds of servers leave in one deployment. The digest must stay small, and
// a daemon that was partitioned must still receive every entry within some
// rounds.
Test(leaving_server_gossip, many_leaving_servers_are_announced_in_rotation) {
  LeavingServerGossip gossip;
  for (int i = 0; i < 200; ++i) {
    cr_assert(gossip.Add({"s" + std::to_string(i), 1}));
    cr_assert(!gossip.Add({"s" + std::to_string(i), 1}));
  }
  std::set<LeavingServer> announced;
  for (int round = 0; round < 50; ++round) {
    const auto digest = gossip.SelectForDigest(At(0));
    cr_assert_eq(digest.size(), 8);
    announced.insert(digest.begin(), digest.end());
  }
  cr_assert_eq(announced.size(), 200);
}

// The host list drops a leaving server, contains it again, then drops it for
// good. If the entry were removed at the first gap, the server would get new
// calls when it is listed again.
Test(leaving_server_gossip, flapping_list_starts_the_time_anew) {
  LeavingServerGossip gossip;
  const std::vector<HostRecord> listed = {Listed("s", 1)};
  const std::vector<HostRecord> replaced = {Listed("s", 2)};
  gossip.Add({"s", 1});
  gossip.OnHostList(At(0), listed);
  gossip.OnHostList(At(1), replaced);
  gossip.OnHostList(At(9), listed);
  cr_assert(gossip.OnHostList(At(12), replaced).empty());
  cr_assert(gossip.OnHostList(At(21), replaced).empty());
  cr_assert_eq(gossip.OnHostList(At(22), replaced).size(), 1);
  cr_assert_eq(gossip.size(), 0);
}

// Two daemons remove an entry at different times. The later one sends it to the
// other again; if that one sent it on, the entry would circulate for ever.
Test(leaving_server_gossip, entry_never_in_own_list_is_not_announced) {
  LeavingServerGossip gossip;
  gossip.OnHostList(At(0), {});
  gossip.Add({"s", 1});
  gossip.OnHostList(At(1), {});
  cr_assert(gossip.SelectForDigest(At(1)).empty());
  cr_assert_eq(gossip.size(), 1);
  cr_assert_eq(gossip.OnHostList(At(11), {}).size(), 1);
}
