#include "order_simulation.h"

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
constexpr Duration kTickInterval = milliseconds(250);
/// Covers the expiry of a lease, its takeover, and a round of reads, orders and
/// reads.
constexpr Duration kRecoveryTime = seconds(40);

struct FakeEngine {
  EngineState state;
  std::uint64_t fencing = 0;  ///< highest number of an order that took effect
};

class OrderSimulation;

/// One daemon's issuer for the pool.
struct Issuer {
  Issuer(const OrderSimulation& simulation,
         std::size_t index,
         std::uint64_t generation);
  LeaseKeeper lease;
  OrderIssuer orders;
  bool draining = false;
};

class OrderSimulation {
 public:
  OrderSimulation(std::uint64_t seed, bool fenced)
      : fenced_(fenced), simulator_(seed), store_(simulator_) {}
  OrderCounts Run(std::uint64_t events);
  bool fenced() const { return fenced_; }

  JsonLeaseCodec codec;
  std::vector<EngineGroup> groups;
  std::vector<std::string> names;

 private:
  struct Host {
    std::unique_ptr<Issuer> issuer;
    std::uint64_t generation = 0;
    TimePoint frozen_until{};
    bool isolated = false;
  };
  using Event = std::function<void(Issuer&)>;

  void Start(std::size_t index);
  void RunAt(std::size_t index, std::uint64_t generation, const Event& event);
  Event Bound(std::size_t index, const Event& event);
  void Tick(std::size_t index);
  void AdvanceIssuer(std::size_t index, Issuer& issuer);
  void AdvanceLease(std::size_t index, Issuer& issuer);
  void SendOrder(std::size_t index, const EngineOrder& order);
  void ReadState(std::size_t index, const std::string& engine);
  void InjectFault();
  void ChangeGroups();
  void ResetEngineState();
  void EndFaults();

  bool fenced_;
  EventSimulator simulator_;
  SimulatedStore store_;
  std::vector<Host> hosts_ = std::vector<Host>(kIssuers);
  std::map<std::string, FakeEngine> engines_;
  OrderCounts counts_;
  std::uint64_t highest_fencing_number_ = 0;
  bool faults_enabled_ = true;
};

LeaseKeeper::Options LeaseOptions(std::size_t index,
                                  std::uint64_t generation,
                                  bool fenced) {
  LeaseKeeper::Options options;
  if (fenced) {
    options.max_order_delay = {};  // the engines reject late orders
  }
  options.pool = "p";
  options.holder = std::to_string(index) + "/" + std::to_string(generation);
  return options;
}

Issuer::Issuer(const OrderSimulation& simulation,
               std::size_t index,
               std::uint64_t generation)
    : lease(LeaseOptions(index, generation, simulation.fenced()),
            simulation.codec),
      orders({}) {
  orders.SetGroups(simulation.groups);
  orders.SetEngines(simulation.names);
}

void OrderSimulation::Start(std::size_t index) {
  Host& host = hosts_[index];
  ++host.generation;
  host.frozen_until = {};
  host.issuer = std::make_unique<Issuer>(*this, index, host.generation);
}

void OrderSimulation::RunAt(std::size_t index,
                            std::uint64_t generation,
                            const Event& event) {
  Host& host = hosts_[index];
  if (host.generation != generation) {
    return;
  }
  if (simulator_.now() < host.frozen_until) {
    simulator_.After(host.frozen_until - simulator_.now(),
                     [=, this] { RunAt(index, generation, event); });
    return;
  }
  event(*host.issuer);
}

void OrderSimulation::Tick(std::size_t index) {
  simulator_.After(kTickInterval, [this, index] { Tick(index); });
  RunAt(index, hosts_[index].generation,
        [this, index](Issuer& issuer) { AdvanceIssuer(index, issuer); });
}

void OrderSimulation::AdvanceIssuer(std::size_t index, Issuer& issuer) {
  const TimePoint now = simulator_.now();
  AdvanceLease(index, issuer);
  if (issuer.draining) {
    return;
  }
  const OrderIssuer::Steps steps = issuer.orders.Advance(now, issuer.lease);
  for (const std::string& engine : steps.reads) {
    ReadState(index, engine);
  }
  for (const EngineOrder& order : steps.orders) {
    // A daemon can pause between the decision and the write.
    if (faults_enabled_ && simulator_.Chance(10)) {
      hosts_[index].frozen_until = now + simulator_.Between(1000, 30000);
    }
    const std::uint64_t generation = hosts_[index].generation;
    simulator_.After(simulator_.Between(0, 5), [=, this] {
      RunAt(index, generation, [this, index, order](Issuer& sender) {
        if (sender.orders.CanWrite(simulator_.now(), sender.lease, order)) {
          SendOrder(index, order);
        }
      });
    });
  }
}

void OrderSimulation::AdvanceLease(std::size_t index, Issuer& issuer) {
  const TimePoint now = simulator_.now();
  const bool lease_needed =
      !issuer.draining || issuer.orders.HasOrderInFlight(now);
  const LeaseKeeper::Step step = issuer.lease.Advance(now, lease_needed);
  const std::uint64_t generation = hosts_[index].generation;
  if (step == LeaseKeeper::Step::kRead) {
    auto done = [=, this](const ReadResult& result) {
      RunAt(index, generation, [this, result](Issuer& reader) {
        reader.lease.OnRead(simulator_.now(), result);
      });
    };
    if (hosts_[index].isolated) {
      simulator_.After(seconds(1), [done] { done({}); });
    } else {
      store_.Read({issuer.lease.key()}, done);
    }
  } else if (step == LeaseKeeper::Step::kTransact) {
    auto done = [=, this](const TransactResult& result) {
      RunAt(index, generation, [this, result](Issuer& writer) {
        writer.lease.OnTransacted(simulator_.now(), result);
        if (writer.lease.fencing() > highest_fencing_number_) {
          highest_fencing_number_ = writer.lease.fencing();
          ++counts_.terms;
        }
      });
    };
    if (hosts_[index].isolated) {
      simulator_.After(seconds(1), [done] { done({}); });
    } else {
      store_.Transact(issuer.lease.transaction(), done);
    }
  }
}

void OrderSimulation::SendOrder(std::size_t index, const EngineOrder& order) {
  const std::uint64_t generation = hosts_[index].generation;
  ++counts_.orders;
  if (faults_enabled_ && simulator_.Chance(10)) {
    return;  // the order is lost
  }
  const int max_delay_ms = fenced_ && faults_enabled_ ? 10000 : 1990;
  const Duration delay = simulator_.Chance(20)
                             ? simulator_.Between(100, max_delay_ms)
                             : simulator_.Between(1, 40);
  simulator_.After(delay, [=, this] {
    FakeEngine& engine = engines_[order.engine];
    if (fenced_ && order.fencing < engine.fencing) {
      ++counts_.refused;
      return;
    }
    Require(order.fencing >= engine.fencing,
            "no order takes effect after one with a newer fencing number",
            simulator_.now());
    engine = {order.desired, order.fencing};
    if (!faults_enabled_ || simulator_.Chance(90)) {
      RunAt(index, generation, [order](Issuer& issuer) {
        issuer.orders.OnOrderAnswered(order.engine);
      });
    }
  });
}

void OrderSimulation::ReadState(std::size_t index, const std::string& engine) {
  if (faults_enabled_ && simulator_.Chance(5)) {
    return;
  }
  const std::uint64_t generation = hosts_[index].generation;
  simulator_.After(simulator_.Between(1, 40), [=, this] {
    const EngineState state = engines_[engine].state;
    RunAt(index, generation, [engine, state](Issuer& issuer) {
      issuer.orders.OnState(engine, state);
    });
  });
}

void OrderSimulation::InjectFault() {
  simulator_.After(simulator_.Between(500, 6000), [this] { InjectFault(); });
  if (!faults_enabled_) {
    return;
  }
  Host& affected = hosts_[simulator_.Below(kIssuers)];
  const std::size_t index = static_cast<std::size_t>(&affected - hosts_.data());
  switch (simulator_.Below(8)) {
    case 0:
      Start(index);
      return;
    case 1:
    case 2:
      affected.frozen_until = simulator_.now() + simulator_.Between(100, 30000);
      return;
    case 3:
      affected.isolated = true;
      return;
    case 4:
      store_.unavailable = true;
      return;
    case 5:
      affected.issuer->draining = true;
      simulator_.After(seconds(8), [this, index] { Start(index); });
      return;
    default:
      store_.unavailable = false;
      for (Host& host : hosts_) {
        host.isolated = false;
      }
  }
}

/// Resets the state of an engine, as after a crash of its worker. The engine
/// remembers the highest fencing token.
void OrderSimulation::ResetEngineState() {
  simulator_.After(simulator_.Between(100, 1000),
                   [this] { ResetEngineState(); });
  if (faults_enabled_) {
    engines_[names[simulator_.Below(kEngines)]].state = {};
  }
}

void OrderSimulation::ChangeGroups() {
  simulator_.After(simulator_.Between(2000, 20000), [this] { ChangeGroups(); });
  if (!faults_enabled_) {
    return;
  }
  groups = {
      {{"m" + std::to_string(simulator_.Below(3)), "1", {"a"}, "decode"},
       static_cast<std::uint32_t>(kEngines - 1),
       {}},
      {{"n", std::to_string(simulator_.Below(3)), {}, "prefill"}, 0, {"e0"}}};
  for (std::size_t i = 0; i < kIssuers; ++i) {
    simulator_.After(simulator_.Between(1, 3000), [this, i] {
      RunAt(i, hosts_[i].generation,
            [this](Issuer& issuer) { issuer.orders.SetGroups(groups); });
    });
  }
}

void OrderSimulation::EndFaults() {
  faults_enabled_ = false;
  store_.unavailable = false;
  store_.fault_free = true;
  for (Host& host : hosts_) {
    host.frozen_until = {};
    host.isolated = false;
  }
}

OrderCounts OrderSimulation::Run(std::uint64_t events) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    names.push_back("e" + std::to_string(i));
    engines_[names.back()] = {};
  }
  for (std::size_t i = 0; i < kIssuers; ++i) {
    Start(i);
    Tick(i);
  }
  ChangeGroups();
  ResetEngineState();
  InjectFault();
  while (simulator_.events() < events) {
    faults_enabled_ = true;
    store_.fault_free = false;
    simulator_.RunFor(seconds(300));
    EndFaults();
    simulator_.RunFor(kRecoveryTime);
    for (const auto& [name, engine] : engines_) {
      const EngineGroup& expected = groups[name == "e0" ? 1 : 0];
      Require(engine.state == expected.state,
              "every engine reaches its declared state soon after faults end",
              simulator_.now());
    }
  }
  counts_.events = simulator_.events();
  return counts_;
}

}  // namespace

OrderCounts RunOrderSimulation(std::uint64_t seed, std::uint64_t events) {
  OrderCounts counts = OrderSimulation(seed, true).Run(events / 2);
  const OrderCounts unfenced = OrderSimulation(seed, false).Run(events / 2);
  counts.events += unfenced.events;
  counts.orders += unfenced.orders;
  counts.terms += unfenced.terms;
  return counts;
}

}  // namespace gentianroute::random_config
