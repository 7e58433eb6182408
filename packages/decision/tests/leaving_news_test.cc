#include "gentianroute/decision/leaving_news.h"

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

/// Daemons that exchange digests as PeerLinks does: one exchange each a round,
/// and for news one more round at once, with two peers.
class Spread {
 public:
  Spread(std::size_t daemons, std::uint64_t seed)
      : rng_(seed), news_(daemons), rumours_(daemons, 1) {}

  void Learn(std::size_t daemon, const LeavingServer& server) {
    if (news_[daemon].Add(server) && rumours_[daemon]-- > 0) {
      Exchange(daemon);
      Exchange(daemon);
    }
  }
  void Round() {
    rumours_.assign(rumours_.size(), 1);
    for (std::size_t i = 0; i < news_.size(); ++i) {
      Exchange(i);
    }
  }
  std::size_t Without(std::size_t entries) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        news_,
        [entries](const LeavingNews& news) { return news.size() < entries; }));
  }

 private:
  void Exchange(std::size_t daemon) {
    const std::size_t peer = rng_() % news_.size();
    const auto mine = news_[daemon].SelectForDigest(At(0));
    const auto yours = news_[peer].SelectForDigest(At(0));
    for (const LeavingServer& server : mine) {
      Learn(peer, server);
    }
    for (const LeavingServer& server : yours) {
      Learn(daemon, server);
    }
  }

  std::mt19937_64 rng_;
  std::vector<LeavingNews> news_;
  std::vector<int> rumours_;
};

}  // namespace

// One of 810 daemons hears that a server leaves, while everybody's list still
// names it. Until the last daemon has heard, the server gets new work.
Test(leaving_news, one_leaving_server_is_known_to_810_daemons_in_three_rounds) {
  int most = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Spread spread(810, seed);
    spread.Learn(0, {"s", 1});
    int rounds = 0;
    for (; spread.Without(1) > 0; ++rounds) {
      spread.Round();
    }
    most = std::max(most, rounds);
  }
  std::fprintf(stderr, "most rounds: %d\n", most);
  cr_assert(most <= 3);
}

// Hundreds of servers leave in one roll-out. The digest stays small, and a
// daemon that was cut off meanwhile still hears of each within some rounds.
Test(leaving_news, many_leaving_servers_are_told_in_turn) {
  LeavingNews news;
  for (int i = 0; i < 200; ++i) {
    cr_assert(news.Add({"s" + std::to_string(i), 1}));
    cr_assert(!news.Add({"s" + std::to_string(i), 1}));
  }
  std::set<LeavingServer> heard;
  for (int round = 0; round < 50; ++round) {
    const auto digest = news.SelectForDigest(At(0));
    cr_assert_eq(digest.size(), 8);
    heard.insert(digest.begin(), digest.end());
  }
  cr_assert_eq(heard.size(), 200);
}

// The list drops a leaving server, names it again (it flaps), then drops it for
// good. Forgotten at the first gap, the server would get new work at the flap.
Test(leaving_news, flapping_list_starts_the_time_anew) {
  LeavingNews news;
  const std::vector<HostRecord> listed = {Listed("s", 1)};
  const std::vector<HostRecord> replaced = {Listed("s", 2)};
  news.Add({"s", 1});
  news.OnHostList(At(0), listed);
  news.OnHostList(At(1), replaced);
  news.OnHostList(At(9), listed);
  cr_assert(news.OnHostList(At(12), replaced).empty());
  cr_assert(news.OnHostList(At(21), replaced).empty());
  cr_assert_eq(news.OnHostList(At(22), replaced).size(), 1);
  cr_assert_eq(news.size(), 0);
}

// Two daemons forget an entry at different times. The slower one tells the
// other again; passed on from there it would go round for ever.
Test(leaving_news, entry_that_own_list_never_named_is_not_passed_on) {
  LeavingNews news;
  news.OnHostList(At(0), {});
  news.Add({"s", 1});
  news.OnHostList(At(1), {});
  cr_assert(news.SelectForDigest(At(1)).empty());
  cr_assert_eq(news.size(), 1);
  cr_assert_eq(news.OnHostList(At(11), {}).size(), 1);
}
