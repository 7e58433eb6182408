// Compares ways to bound the requests that all daemons together send to cold
// servers, in virtual time: a data centre's servers return at once, empty, and
// every daemon would send its next request to one of them.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/ranked_senders.h"
#include "virtual_fleet.h"

namespace {

using namespace gentianroute;
using namespace gentianroute::gateway;

constexpr double kRate = 11;
constexpr routing::RateTolerance kTolerance{1.5, 5};
constexpr std::size_t kColdServers = 15;
constexpr Duration kColdTime = std::chrono::seconds(3);
constexpr Duration kStep = std::chrono::milliseconds(5);

/// What one daemon knows about one cold server.
struct View {
  TimePoint cold_since{};
  TimePoint last_sent{};
  bool ever_sent = false;
  routing::WarmUp warm_up;
};

/// One way to bound the requests.
class Way {
 public:
  virtual ~Way() = default;
  virtual std::string_view name() const = 0;
  virtual bool MaySend(TimePoint now,
                       const Membership& members,
                       const routing::ServerRecord& server,
                       const View& view) = 0;
};

/// No bound: the penalty of a cold server is its only protection.
class Unbounded final : public Way {
 public:
  std::string_view name() const override { return "unbounded"; }
  bool MaySend(TimePoint /*now*/,
               const Membership& /*members*/,
               const routing::ServerRecord& /*server*/,
               const View& /*view*/) override {
    return true;
  }
};

/// Each daemon a token bucket of one with an equal part of the rate.
class EqualBuckets final : public Way {
 public:
  std::string_view name() const override { return "equal buckets"; }
  bool MaySend(TimePoint now,
               const Membership& members,
               const routing::ServerRecord& /*server*/,
               const View& view) override {
    const double interval = static_cast<double>(members.live_daemons()) / kRate;
    return !view.ever_sent || Seconds(now - view.last_sent) >= interval;
  }
};

/// Each daemon an equal part, with the phase of its slots from a hash.
class EqualPhases final : public Way {
 public:
  std::string_view name() const override { return "equal phases"; }
  bool MaySend(TimePoint now,
               const Membership& members,
               const routing::ServerRecord& server,
               const View& view) override {
    const double interval = static_cast<double>(members.live_daemons()) / kRate;
    constexpr double kHashRange = 18446744073709551616.0;  // 2^64
    const double phase =
        static_cast<double>(RendezvousWeight(server.id, members.own().name)) /
        kHashRange * interval;
    const double next =
        view.ever_sent ? Seconds(view.last_sent - view.cold_since) + interval
                       : phase;
    return Seconds(now - view.cold_since) >= next;
  }
};

/// A few daemons of the server's data centre, each with a whole part.
class FewSenders final : public Way {
 public:
  std::string_view name() const override { return "few senders"; }
  bool MaySend(TimePoint now,
               const Membership& members,
               const routing::ServerRecord& server,
               const View& view) override {
    const auto share = routing::SenderShare::Of(kRate, kTolerance);
    return view.warm_up.MaySend(now, share.interval) &&
           RankedSenders(members).IsSender(server, share.senders);
  }
};

/// The first daemon of the data centre grants slots in its heartbeats, in turn
/// to the daemons of the data centre; a grant may be used until the next round.
class Keeper final : public Way {
 public:
  std::string_view name() const override { return "keeper"; }
  bool MaySend(TimePoint now,
               const Membership& members,
               const routing::ServerRecord& server,
               const View& view) override {
    if (members.own().data_centre != server.data_centre) {
      return false;
    }
    // Half of the bound, as two daemons may both take themselves for the
    // keeper.
    constexpr double kGrantsPerSecond = 9.75;
    const auto round = static_cast<std::int64_t>(
        Seconds(now - view.cold_since) * kGrantsPerSecond);
    const auto last = static_cast<std::int64_t>(
        Seconds(view.last_sent - view.cold_since) * kGrantsPerSecond);
    if (round == 0 || (view.ever_sent && last == round)) {
      return false;
    }
    // The daemon that is granted this slot: the first in a rendezvous order
    // that changes with each slot.
    return members.IsAmongFirst(server.id + std::to_string(round),
                                server.data_centre, server.service, 1);
  }
};

struct Outcome {
  double per_server_and_second = 0;
  std::size_t most_in_a_second = 0;
};

class Run {
 public:
  Run(VirtualFleet::Shape shape, double requests_per_second, Way& way)
      : fleet_(shape), way_(way), random_(shape.seed) {
    demand_per_step_ = requests_per_second /
                       static_cast<double>(shape.daemons) * Seconds(kStep);
    fleet_.StartAll();
    fleet_.AdvanceTime(2 * kSecond);
    for (std::size_t i = 0; i < kColdServers; ++i) {
      routing::ServerRecord record;
      record.id = "cold-" + std::to_string(i);
      record.data_centre = fleet_.DataCentre(1);
      servers_.push_back(record);
    }
    arrivals_.resize(kColdServers);
  }

  Outcome Play(bool restarts) {
    const TimePoint begin = fleet_.now();
    TimePoint next_restart = begin;
    while (fleet_.now() < begin + kColdTime) {
      if (restarts && fleet_.now() >= next_restart) {
        RestartSome();
        next_restart += 300 * kMs;
      }
      fleet_.AdvanceTime(kStep);
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        if (std::bernoulli_distribution(std::min(1.0, demand_per_step_))(
                random_)) {
          SendOne(i, begin);
        }
      }
    }
    return Summarise();
  }

 private:
  void RestartSome() {
    // A tenth of the daemons, those beside the servers among them.
    for (std::size_t i = 1; i < fleet_.size(); i += 12) {
      fleet_.Kill(i);
      fleet_.Start(i);
      views_.erase(i);
    }
  }
  void SendOne(std::size_t daemon, TimePoint begin) {
    auto& views = views_[daemon];
    const bool is_new = views.empty();
    views.resize(kColdServers);
    std::vector<std::size_t> open;
    for (std::size_t s = 0; s < kColdServers; ++s) {
      if (is_new) {
        views[s].cold_since =
            fleet_.now() - begin < kSecond ? begin : fleet_.now();
        views[s].warm_up.OnReport(views[s].cold_since, kColdTime);
      }
      if (way_.MaySend(fleet_.now(), fleet_.MembershipOf(daemon), servers_[s],
                       views[s])) {
        open.push_back(s);
      }
    }
    if (open.empty()) {
      return;
    }
    const std::size_t chosen = open[std::uniform_int_distribution<std::size_t>(
        0, open.size() - 1)(random_)];
    views[chosen].last_sent = fleet_.now();
    views[chosen].ever_sent = true;
    views[chosen].warm_up.OnSent(fleet_.now());
    arrivals_[chosen].push_back(fleet_.now());
  }
  Outcome Summarise() const {
    Outcome outcome;
    std::size_t total = 0;
    for (const auto& times : arrivals_) {
      total += times.size();
      outcome.most_in_a_second =
          std::max(outcome.most_in_a_second, MostInAnyWindow(times, kSecond));
    }
    outcome.per_server_and_second =
        static_cast<double>(total) / kColdServers / Seconds(kColdTime);
    return outcome;
  }

  VirtualFleet fleet_;
  Way& way_;
  std::mt19937_64 random_;
  double demand_per_step_ = 0;
  std::vector<routing::ServerRecord> servers_;
  std::map<std::size_t, std::vector<View>> views_;
  std::vector<std::vector<TimePoint>> arrivals_;
};

}  // namespace

int main() {
  struct Size {
    VirtualFleet::Shape shape;
    double requests_per_second;
  };
  const Size sizes[] = {{{9, 3, 3, 1}, 270},
                        {{65, 6, 3, 2}, 270},
                        {{300, 6, 3, 3}, 1200},
                        {{810, 11, 5, 4}, 31'000}};
  Unbounded unbounded;
  EqualBuckets buckets;
  EqualPhases phases;
  FewSenders senders;
  Keeper keeper;
  std::printf("%-14s %8s %12s %10s %14s\n", "way", "daemons", "per s, calm",
              "most in 1s", "with restarts");
  for (Way* way : std::initializer_list<Way*>{&unbounded, &buckets, &phases,
                                              &senders, &keeper}) {
    for (const Size& size : sizes) {
      const Outcome calm =
          Run(size.shape, size.requests_per_second, *way).Play(false);
      const Outcome restarts =
          Run(size.shape, size.requests_per_second, *way).Play(true);
      std::printf("%-14s %8zu %12.2f %10zu %14zu\n",
                  std::string(way->name()).c_str(), size.shape.daemons,
                  calm.per_server_and_second, calm.most_in_a_second,
                  restarts.most_in_a_second);
    }
  }
  return 0;
}
