#include "gossip_simulation.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/config_follower.h"
#include "gentianroute/schema/declarations.h"

namespace gentianroute::capacity {
namespace {

constexpr Duration kOneWayLatency = std::chrono::milliseconds(20);
constexpr Duration kGossipPeriod = std::chrono::seconds(1);
constexpr std::size_t kPeersPerRound = 1;
constexpr std::size_t kPeersPerRumour = 2;
constexpr std::size_t kRevisionsPerCall = 64;

/// Discrete-event simulation of daemons, each with a ConfigFollower.
class GossipSimulation {
 public:
  explicit GossipSimulation(const GossipOptions& options)
      : options_(options), rng_(options.seed) {
    for (std::size_t i = 0; i < options.daemons; ++i) {
      followers_.push_back(std::make_unique<ConfigFollower>(codec_));
    }
    rumours_left_.assign(options.daemons, options.rumours);
  }

  double Run() {
    std::uniform_int_distribution<Duration::rep> phase(
        0, kGossipPeriod.count() - 1);
    for (std::size_t i = 0; i < followers_.size(); ++i) {
      Schedule(TimePoint{Duration(phase(rng_))}, [this, i] { RunPeriod(i); });
    }
    ConfigRevision first;
    first.revision = 1;
    first.changes = {{DocumentKind::kPool, "llm", R"({"name":"llm"})", 0}};
    Apply(0, {first});
    while (applied_count_ < followers_.size()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.due;
      event.run();
    }
    return Seconds(now_ - TimePoint{});
  }

 private:
  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::pair(due, order) > std::pair(other.due, other.order);
    }
  };

  void Schedule(TimePoint due, std::function<void()> run) {
    events_.push({due, next_order_++, std::move(run)});
  }
  void ScheduleAfter(int hops, std::function<void()> run) {
    Schedule(now_ + hops * kOneWayLatency, std::move(run));
  }

  void RunPeriod(std::size_t daemon) {
    rumours_left_[daemon] = options_.rumours;
    ExchangeWithPeers(daemon, kPeersPerRound);
    Schedule(now_ + kGossipPeriod, [this, daemon] { RunPeriod(daemon); });
  }

  void ExchangeWithPeers(std::size_t daemon, std::size_t peers) {
    std::uniform_int_distribution<std::size_t> draw(0, followers_.size() - 1);
    for (std::size_t i = 0; i < peers; ++i) {
      Exchange(daemon, draw(rng_));
    }
  }

  /// Exchanges revision numbers; the side that is behind fetches the missing
  /// revisions from the other.
  void Exchange(std::size_t from, std::size_t to) {
    const std::uint64_t sent_revision = followers_[from]->revision();
    ScheduleAfter(1, [this, from, to, sent_revision] {
      const std::uint64_t peer_revision = followers_[to]->revision();
      if (sent_revision > peer_revision) {
        Fetch(to, from);
      }
      ScheduleAfter(1, [this, from, to, peer_revision] {
        if (peer_revision > followers_[from]->revision()) {
          Fetch(from, to);
        }
      });
    });
  }

  void Fetch(std::size_t daemon, std::size_t from) {
    const std::uint64_t after = followers_[daemon]->revision();
    ScheduleAfter(1, [this, daemon, from, after] {
      auto revisions = followers_[from]->After(after, kRevisionsPerCall);
      ScheduleAfter(1, [this, daemon, revisions] { Apply(daemon, revisions); });
    });
  }

  void Apply(std::size_t daemon, const std::vector<ConfigRevision>& revisions) {
    if (!followers_[daemon]->Apply(revisions)) {
      return;
    }
    ++applied_count_;
    if (rumours_left_[daemon] > 0) {
      --rumours_left_[daemon];
      ExchangeWithPeers(daemon, kPeersPerRumour);
    }
  }

  GossipOptions options_;
  std::mt19937_64 rng_;
  JsonConfigCodec codec_;
  std::vector<std::unique_ptr<ConfigFollower>> followers_;
  std::vector<std::uint32_t> rumours_left_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  std::size_t applied_count_ = 0;
};

}  // namespace

double ConvergenceSeconds(const GossipOptions& options) {
  GR_INVARIANT(options.daemons > 1);
  return GossipSimulation(options).Run();
}

}  // namespace gentianroute::capacity
