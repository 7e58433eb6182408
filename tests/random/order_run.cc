#include "order_run.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "config_store.h"
#include "gentianroute/decision/order_issuer.h"
#include "gentianroute/schema/rows.h"

namespace gentianroute::random_config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kIssuers = 4;
constexpr std::size_t kEngines = 4;
constexpr Duration kTick = milliseconds(250);
/// Lapse of a lease, its takeover, and a round of reads, orders and reads.
constexpr Duration kRepair = seconds(40);

struct FakeEngine {
  EngineState state;
  std::uint64_t fencing = 0;  ///< highest that took effect
};

class OrderRun;

/// One daemon's issuer for the pool.
struct Issuer {
  Issuer(const OrderRun& run, std::size_t index, std::uint64_t generation);
  LeaseKeeper lease;
  OrderIssuer orders;
  bool draining = false;
};

class OrderRun {
 public:
  OrderRun(std::uint64_t seed, bool fenced)
      : fenced_(fenced), world_(seed), store_(world_) {}
  OrderCounts Go(std::uint64_t events);
  bool fenced() const { return fenced_; }

  JsonLeaseCodec codec;
  std::vector<EngineGroup> groups;
  std::vector<std::string> names;

 private:
  struct Host {
    std::unique_ptr<Issuer> issuer;
    std::uint64_t generation = 0;
    TimePoint frozen_until{};
    bool cut = false;
  };
  using Event = std::function<void(Issuer&)>;

  void Start(std::size_t index);
  void At(std::size_t index, std::uint64_t generation, const Event& event);
  Event Bound(std::size_t index, const Event& event);
  void Tick(std::size_t index);
  void Step(std::size_t index, Issuer& issuer);
  void StepLease(std::size_t index, Issuer& issuer);
  void Send(std::size_t index, const EngineOrder& order);
  void ReadState(std::size_t index, const std::string& engine);
  void Fault();
  void ChangeGroups();
  void Disturb();
  void Heal();

  bool fenced_;
  World world_;
  Store store_;
  std::vector<Host> hosts_ = std::vector<Host>(kIssuers);
  std::map<std::string, FakeEngine> engines_;
  OrderCounts counts_;
  std::uint64_t highest_term_ = 0;
  bool faults_ = true;
};

LeaseKeeper::Options LeaseOptions(std::size_t index,
                                  std::uint64_t generation,
                                  bool fenced) {
  LeaseKeeper::Options options;
  if (fenced) {
    options.max_order_delay = {};  // the engines refuse what is late
  }
  options.pool = "p";
  options.holder = std::to_string(index) + "/" + std::to_string(generation);
  return options;
}

Issuer::Issuer(const OrderRun& run, std::size_t index, std::uint64_t generation)
    : lease(LeaseOptions(index, generation, run.fenced()), run.codec),
      orders({}) {
  orders.SetGroups(run.groups);
  orders.SetEngines(run.names);
}

void OrderRun::Start(std::size_t index) {
  Host& host = hosts_[index];
  ++host.generation;
  host.frozen_until = {};
  host.issuer = std::make_unique<Issuer>(*this, index, host.generation);
}

void OrderRun::At(std::size_t index,
                  std::uint64_t generation,
                  const Event& event) {
  Host& host = hosts_[index];
  if (host.generation != generation) {
    return;
  }
  if (world_.now() < host.frozen_until) {
    world_.After(host.frozen_until - world_.now(),
                 [=, this] { At(index, generation, event); });
    return;
  }
  event(*host.issuer);
}

void OrderRun::Tick(std::size_t index) {
  world_.After(kTick, [this, index] { Tick(index); });
  At(index, hosts_[index].generation,
     [this, index](Issuer& issuer) { Step(index, issuer); });
}

void OrderRun::Step(std::size_t index, Issuer& issuer) {
  const TimePoint now = world_.now();
  StepLease(index, issuer);
  if (issuer.draining) {
    return;
  }
  const OrderIssuer::Steps steps = issuer.orders.Advance(now, issuer.lease);
  for (const std::string& engine : steps.reads) {
    ReadState(index, engine);
  }
  for (const EngineOrder& order : steps.orders) {
    // The daemon may be paused between the decision and the write.
    if (faults_ && world_.Chance(10)) {
      hosts_[index].frozen_until = now + world_.Between(1000, 30000);
    }
    const std::uint64_t generation = hosts_[index].generation;
    world_.After(world_.Between(0, 5), [=, this] {
      At(index, generation, [this, index, order](Issuer& sender) {
        if (sender.orders.CanWrite(world_.now(), sender.lease, order)) {
          Send(index, order);
        }
      });
    });
  }
}

void OrderRun::StepLease(std::size_t index, Issuer& issuer) {
  const TimePoint now = world_.now();
  const bool wanted = !issuer.draining || issuer.orders.HasOrderInFlight(now);
  const LeaseKeeper::Step step = issuer.lease.Advance(now, wanted);
  const std::uint64_t generation = hosts_[index].generation;
  if (step == LeaseKeeper::Step::kRead) {
    auto done = [=, this](const ReadResult& result) {
      At(index, generation, [this, result](Issuer& reader) {
        reader.lease.OnRead(world_.now(), result);
      });
    };
    if (hosts_[index].cut) {
      world_.After(seconds(1), [done] { done({}); });
    } else {
      store_.Read({issuer.lease.key()}, done);
    }
  } else if (step == LeaseKeeper::Step::kTransact) {
    auto done = [=, this](const TransactResult& result) {
      At(index, generation, [this, result](Issuer& writer) {
        writer.lease.OnTransacted(world_.now(), result);
        if (writer.lease.fencing() > highest_term_) {
          highest_term_ = writer.lease.fencing();
          ++counts_.terms;
        }
      });
    };
    if (hosts_[index].cut) {
      world_.After(seconds(1), [done] { done({}); });
    } else {
      store_.Transact(issuer.lease.transaction(), done);
    }
  }
}

void OrderRun::Send(std::size_t index, const EngineOrder& order) {
  const std::uint64_t generation = hosts_[index].generation;
  ++counts_.orders;
  if (faults_ && world_.Chance(10)) {
    return;  // lost on the way
  }
  const int longest = fenced_ && faults_ ? 10000 : 1990;
  const Duration delay =
      world_.Chance(20) ? world_.Between(100, longest) : world_.Between(1, 40);
  world_.After(delay, [=, this] {
    FakeEngine& engine = engines_[order.engine];
    if (fenced_ && order.fencing < engine.fencing) {
      ++counts_.refused;
      return;
    }
    Require(order.fencing >= engine.fencing,
            "no order takes effect after one with a newer fencing number",
            world_.now());
    engine = {order.desired, order.fencing};
    if (!faults_ || world_.Chance(90)) {
      At(index, generation, [order](Issuer& issuer) {
        issuer.orders.OnOrderAnswered(order.engine);
      });
    }
  });
}

void OrderRun::ReadState(std::size_t index, const std::string& engine) {
  if (faults_ && world_.Chance(5)) {
    return;
  }
  const std::uint64_t generation = hosts_[index].generation;
  world_.After(world_.Between(1, 40), [=, this] {
    const EngineState state = engines_[engine].state;
    At(index, generation, [engine, state](Issuer& issuer) {
      issuer.orders.OnState(engine, state);
    });
  });
}

void OrderRun::Fault() {
  world_.After(world_.Between(500, 6000), [this] { Fault(); });
  if (!faults_) {
    return;
  }
  Host& victim = hosts_[world_.Below(kIssuers)];
  const std::size_t index = static_cast<std::size_t>(&victim - hosts_.data());
  switch (world_.Below(8)) {
    case 0:
      Start(index);
      return;
    case 1:
    case 2:
      victim.frozen_until = world_.now() + world_.Between(100, 30000);
      return;
    case 3:
      victim.cut = true;
      return;
    case 4:
      store_.out = true;
      return;
    case 5:
      victim.issuer->draining = true;
      world_.After(seconds(8), [this, index] { Start(index); });
      return;
    default:
      store_.out = false;
      for (Host& host : hosts_) {
        host.cut = false;
      }
  }
}

/// An engine drops what it ran, as after a crash of its worker; it remembers
/// the highest number that it took.
void OrderRun::Disturb() {
  world_.After(world_.Between(100, 1000), [this] { Disturb(); });
  if (faults_) {
    engines_[names[world_.Below(kEngines)]].state = {};
  }
}

void OrderRun::ChangeGroups() {
  world_.After(world_.Between(2000, 20000), [this] { ChangeGroups(); });
  if (!faults_) {
    return;
  }
  groups = {{{"m" + std::to_string(world_.Below(3)), "1", {"a"}, "decode"},
             static_cast<std::uint32_t>(kEngines - 1),
             {}},
            {{"n", std::to_string(world_.Below(3)), {}, "prefill"}, 0, {"e0"}}};
  for (std::size_t i = 0; i < kIssuers; ++i) {
    world_.After(world_.Between(1, 3000), [this, i] {
      At(i, hosts_[i].generation,
         [this](Issuer& issuer) { issuer.orders.SetGroups(groups); });
    });
  }
}

void OrderRun::Heal() {
  faults_ = false;
  store_.out = false;
  store_.healthy = true;
  for (Host& host : hosts_) {
    host.frozen_until = {};
    host.cut = false;
  }
}

OrderCounts OrderRun::Go(std::uint64_t events) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    names.push_back("e" + std::to_string(i));
    engines_[names.back()] = {};
  }
  for (std::size_t i = 0; i < kIssuers; ++i) {
    Start(i);
    Tick(i);
  }
  ChangeGroups();
  Disturb();
  Fault();
  while (world_.events() < events) {
    faults_ = true;
    store_.healthy = false;
    world_.RunFor(seconds(300));
    Heal();
    world_.RunFor(kRepair);
    for (const auto& [name, engine] : engines_) {
      const EngineGroup& wanted = groups[name == "e0" ? 1 : 0];
      Require(engine.state == wanted.state,
              "every engine reaches its declared state soon after faults end",
              world_.now());
    }
  }
  counts_.events = world_.events();
  return counts_;
}

}  // namespace

OrderCounts RunOrders(std::uint64_t seed, std::uint64_t events) {
  OrderCounts counts = OrderRun(seed, true).Go(events / 2);
  const OrderCounts unfenced = OrderRun(seed, false).Go(events / 2);
  counts.events += unfenced.events;
  counts.orders += unfenced.orders;
  counts.terms += unfenced.terms;
  return counts;
}

}  // namespace gentianroute::random_config
