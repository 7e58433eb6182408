// Seeded random simulation of configuration changes in virtual time: the real
// followers, appliers, snapshot writers and poll schedules of nine daemons in
// three data centres, with a store that has outages, lost answers and delayed
// writes. Daemons are isolated, frozen and killed; operators make concurrent
// changes. The invariants are checked in the store and after every change of a
// daemon.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <memory>

#include "config_store.h"
#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/poll_schedule.h"
#include "gentianroute/entry/config_sync.h"
#include "order_simulation.h"

namespace gentianroute::random_config {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDaemons = 9;
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kFanout = 2;
constexpr std::size_t kOperators = 6;
constexpr std::size_t kDocumentNames = 5;
constexpr ConfigRetention kRetention{16, 256, 4};
/// Time from the end of the faults until every daemon has the latest revision:
/// a few silence timeouts and a poll.
constexpr Duration kConvergenceTime = seconds(20);

class ConfigSimulation;

/// One daemon process; its state is lost when it is killed.
class SimulatedDaemon final : public TableService, public ObjectStore {
 public:
  SimulatedDaemon(ConfigSimulation& simulation, std::size_t index);
  ~SimulatedDaemon() override = default;

  void Transact(TableTransaction transaction,
                std::function<void(TransactResult)> done) override;
  void Read(std::vector<TableKey> keys,
            std::function<void(ReadResult)> done) override;
  void Get(std::string name, std::function<void(ObjectResult)> done) override;
  void Put(std::string name,
           std::string content,
           std::function<void(bool)> done) override;

  void Poll();
  void Gossip();
  void OnDigest(std::size_t peer, std::uint64_t revision, Duration age);
  void Check();

  std::size_t data_centre() const { return index_ % kDataCentres; }

  ConfigFollower follower;
  PollSchedule schedule;
  ConfigSync sync;

 private:
  void OnChanged();

  ConfigSimulation& simulation_;
  std::size_t index_;
  std::uint64_t last_revision_ = 0;
};

/// An operator's change, retried until its outcome is known.
struct OperatorChange {
  ConfigRevision change;
  std::uint32_t pending_attempts = 0;  ///< attempts without an answer so far
  std::uint32_t attempts = 0;
  bool settled = false;
};

class ConfigSimulation {
 public:
  explicit ConfigSimulation(std::uint64_t seed)
      : simulator(seed), store(simulator) {}
  void Run(std::uint64_t events);

  /// Runs an event at a daemon unless the daemon was killed in the meantime. A
  /// frozen daemon gets the event when it resumes.
  void RunAt(std::size_t index,
             std::uint64_t generation,
             const std::function<void(SimulatedDaemon&)>& event);
  void Send(std::size_t from,
            std::size_t to,
            const std::function<void(SimulatedDaemon&)>& event);
  std::uint64_t generation(std::size_t index) const {
    return hosts_[index].generation;
  }
  bool ReachesStore(std::size_t data_centre) const {
    return isolated_from_store_ != data_centre;
  }

  EventSimulator simulator;
  SimulatedStore store;
  JsonConfigCodec codec;
  std::uint64_t applied = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t invalid = 0;
  std::uint64_t asked_again = 0;
  std::uint64_t snapshots_read = 0;

 private:
  struct Host {
    std::unique_ptr<SimulatedDaemon> daemon;
    std::uint64_t generation = 0;
    TimePoint frozen_until{};
  };

  void Start(std::size_t index);
  void Tick(std::size_t index);
  void InjectFault();
  void EndFaults();
  void SubmitRandomChange();
  void AttemptChange(const std::shared_ptr<OperatorChange>& operator_change);
  void OnAttemptDone(const std::shared_ptr<OperatorChange>& operator_change,
                     const ConfigApplier& apply);
  DocumentChange RandomChange(const Documents& seen);

  std::vector<Host> hosts_ = std::vector<Host>(kDaemons);
  std::size_t isolated_from_store_ = kDataCentres;
  std::size_t isolated_from_peers_ = kDataCentres;
  std::uint64_t next_change_ = 0;
  bool faults_enabled_ = true;
};

SimulatedDaemon::SimulatedDaemon(ConfigSimulation& simulation,
                                 std::size_t index)
    : follower({16}, simulation.codec),
      schedule({"host" + std::to_string(index), 1}),
      sync(
          *this,
          *this,
          follower,
          simulation.codec,
          [this] { OnChanged(); },
          kRetention),
      simulation_(simulation),
      index_(index) {
  std::vector<std::string> neighbours;
  for (std::size_t i = data_centre(); i < kDaemons; i += kDataCentres) {
    neighbours.push_back("host" + std::to_string(i));
  }
  schedule.SetPeers(neighbours);
}

void SimulatedDaemon::Transact(TableTransaction transaction,
                               std::function<void(TransactResult)> done) {
  const std::uint64_t generation = simulation_.generation(index_);
  auto answer = [&simulation = simulation_, index = index_, generation,
                 done](const TransactResult& result) {
    simulation.RunAt(index, generation,
                     [done, result](SimulatedDaemon&) { done(result); });
  };
  if (!simulation_.ReachesStore(data_centre())) {
    simulation_.simulator.After(seconds(1), [answer] { answer({}); });
    return;
  }
  simulation_.store.Transact(transaction, answer);
}

void SimulatedDaemon::Read(std::vector<TableKey> keys,
                           std::function<void(ReadResult)> done) {
  const std::uint64_t generation = simulation_.generation(index_);
  auto answer = [&simulation = simulation_, index = index_, generation,
                 done](const ReadResult& result) {
    simulation.RunAt(index, generation,
                     [done, result](SimulatedDaemon&) { done(result); });
  };
  if (!simulation_.ReachesStore(data_centre())) {
    simulation_.simulator.After(seconds(1), [answer] { answer({}); });
    return;
  }
  simulation_.store.Read(keys, answer);
}

void SimulatedDaemon::Get(std::string name,
                          std::function<void(ObjectResult)> done) {
  const std::uint64_t generation = simulation_.generation(index_);
  ++simulation_.snapshots_read;
  simulation_.store.Get(name, [&simulation = simulation_, index = index_,
                               generation, done](const ObjectResult& result) {
    simulation.RunAt(index, generation,
                     [done, result](SimulatedDaemon&) { done(result); });
  });
}

void SimulatedDaemon::Put(std::string name,
                          std::string content,
                          std::function<void(bool)> done) {
  const std::uint64_t generation = simulation_.generation(index_);
  simulation_.store.Put(
      name, content,
      [&simulation = simulation_, index = index_, generation,
       done](bool stored) {
        simulation.RunAt(index, generation,
                         [done, stored](SimulatedDaemon&) { done(stored); });
      });
}

void SimulatedDaemon::Poll() {
  if (schedule.IsPollDue(simulation_.simulator.now())) {
    sync.Poll([this](bool answered) {
      schedule.OnPolled(simulation_.simulator.now(), answered);
    });
  }
}

void SimulatedDaemon::Gossip() {
  const std::uint64_t revision = follower.revision();
  const Duration age = schedule.Age(simulation_.simulator.now());
  for (std::size_t i = 0; i < kFanout; ++i) {
    const std::size_t peer = simulation_.simulator.Below(kDaemons);
    simulation_.Send(index_, peer,
                     [this_index = index_, revision, age](SimulatedDaemon& to) {
                       to.OnDigest(this_index, revision, age);
                     });
  }
}

void SimulatedDaemon::OnDigest(std::size_t peer,
                               std::uint64_t revision,
                               Duration age) {
  if (age != Duration::max()) {
    schedule.OnPeerReadAge(simulation_.simulator.now(), age);
  }
  follower.OnRevisionSeen(revision);
  if (revision < follower.revision()) {  // tell the peer the newer revision
    simulation_.Send(
        index_, peer,
        [this_index = index_, own = follower.revision()](SimulatedDaemon& to) {
          to.OnDigest(this_index, own, Duration::max());
        });
  }
  if (revision <= follower.revision()) {
    return;
  }
  simulation_.Send(index_, peer,
                   [this_index = index_,
                    after = follower.revision()](SimulatedDaemon& from) {
                     const auto revisions = from.follower.After(after, 8);
                     const ConfigSnapshot snapshot = from.follower.Snapshot();
                     from.simulation_.Send(
                         from.index_, this_index,
                         [revisions, snapshot](SimulatedDaemon& to) {
                           const bool changed =
                               revisions.empty() ? to.follower.Apply(snapshot)
                                                 : to.follower.Apply(revisions);
                           if (changed) {
                             to.OnChanged();
                           }
                         });
                   });
}

void SimulatedDaemon::OnChanged() {
  Check();
  Gossip();
}

void SimulatedDaemon::Check() {
  const std::uint64_t revision = follower.revision();
  Require(revision >= last_revision_, "a daemon's revision never decreases",
          simulation_.simulator.now());
  last_revision_ = revision;
  Require(revision <= simulation_.store.head(),
          "no daemon has a revision beyond the log",
          simulation_.simulator.now());
  const Documents& expected = simulation_.store.DocumentsAt(revision);
  const Documents& actual = follower.documents();
  const bool equal = std::ranges::equal(
      expected, actual, [](const auto& left, const auto& right) {
        return left.first == right.first &&
               left.second.body == right.second.body &&
               left.second.revision == right.second.revision;
      });
  Require(equal, "a daemon's documents equal the log's at its revision",
          simulation_.simulator.now());
}

void ConfigSimulation::RunAt(
    std::size_t index,
    std::uint64_t generation,
    const std::function<void(SimulatedDaemon&)>& event) {
  Host& host = hosts_[index];
  if (host.generation != generation) {
    return;
  }
  if (simulator.now() < host.frozen_until) {
    simulator.After(host.frozen_until - simulator.now(),
                    [=, this] { RunAt(index, generation, event); });
    return;
  }
  event(*host.daemon);
}

void ConfigSimulation::Send(
    std::size_t from,
    std::size_t to,
    const std::function<void(SimulatedDaemon&)>& event) {
  const bool partitioned = from % kDataCentres != to % kDataCentres &&
                           (from % kDataCentres == isolated_from_peers_ ||
                            to % kDataCentres == isolated_from_peers_);
  if (partitioned || from == to || (faults_enabled_ && simulator.Chance(2))) {
    return;
  }
  // A delayed message carries outdated state.
  const Duration delay = faults_enabled_ && simulator.Chance(3)
                             ? simulator.Between(500, 5000)
                             : simulator.Between(1, 25);
  simulator.After(delay,
                  [=, this] { RunAt(to, hosts_[to].generation, event); });
}

void ConfigSimulation::Start(std::size_t index) {
  Host& host = hosts_[index];
  ++host.generation;
  host.frozen_until = {};
  host.daemon = std::make_unique<SimulatedDaemon>(*this, index);
}

void ConfigSimulation::Tick(std::size_t index) {
  simulator.After(seconds(1), [this, index] { Tick(index); });
  RunAt(index, hosts_[index].generation, [](SimulatedDaemon& daemon) {
    daemon.Poll();
    daemon.Gossip();
  });
}

void ConfigSimulation::InjectFault() {
  simulator.After(simulator.Between(200, 3000), [this] { InjectFault(); });
  if (!faults_enabled_) {
    return;
  }
  const std::size_t index = simulator.Below(kDaemons);
  switch (simulator.Below(8)) {
    case 0:
      Start(index);
      return;
    case 1:
      hosts_[index].frozen_until =
          simulator.now() + simulator.Between(100, 15000);
      return;
    case 2:
      store.unavailable = true;
      return;
    case 3:
      isolated_from_peers_ = simulator.Below(kDataCentres);
      return;
    case 4:
      isolated_from_store_ = simulator.Below(kDataCentres);
      return;
    default:
      store.unavailable = false;
      isolated_from_peers_ = isolated_from_store_ = kDataCentres;
  }
}

void ConfigSimulation::EndFaults() {
  faults_enabled_ = false;
  store.unavailable = false;
  store.fault_free = true;
  isolated_from_peers_ = isolated_from_store_ = kDataCentres;
  for (Host& host : hosts_) {
    host.frozen_until = {};
  }
}

DocumentChange ConfigSimulation::RandomChange(const Documents& seen) {
  const auto number = [this] {
    return std::to_string(simulator.Below(kDocumentNames));
  };
  DocumentChange change;
  change.kind = static_cast<DocumentKind>(simulator.Below(3));
  change.name = number();
  const std::string name_field = R"({"name":")" + change.name + '"';
  if (change.kind == DocumentKind::kPool) {
    change.body = name_field + R"(,"fenced":)" +
                  (simulator.Chance(50) ? "true}" : "false}");
  } else if (change.kind == DocumentKind::kProfile) {
    change.body = name_field + R"(,"stages":[{"name":"a","pool":")" + number() +
                  R"(","expectedMs":)" +
                  std::to_string(simulator.Below(999) + 1) + "}]}";
  } else {
    change.body = name_field + R"(,"profile":")" + number() + R"("})";
  }
  const auto found = seen.find(change.FullName());
  if (found != seen.end()) {
    change.base_revision = found->second.revision;
    if (simulator.Chance(25)) {
      change.body.clear();
    }
  }
  return change;
}

void ConfigSimulation::SubmitRandomChange() {
  simulator.After(simulator.Between(100, 4000),
                  [this] { SubmitRandomChange(); });
  if (!faults_enabled_) {
    return;
  }
  auto operator_change = std::make_shared<OperatorChange>();
  operator_change->change.change_id = "change" + std::to_string(next_change_++);
  const Documents& seen =
      hosts_[simulator.Below(kDaemons)].daemon->follower.documents();
  operator_change->change.changes.push_back(RandomChange(seen));
  AttemptChange(operator_change);
}

void ConfigSimulation::AttemptChange(
    const std::shared_ptr<OperatorChange>& operator_change) {
  constexpr std::uint32_t kMaxAttempts = 6;
  if (!faults_enabled_) {
    simulator.After(kConvergenceTime, [this, operator_change] {
      AttemptChange(operator_change);
    });
    return;
  }
  if (operator_change->settled || operator_change->attempts++ == kMaxAttempts) {
    return;
  }
  asked_again += operator_change->attempts > 1 ? 1 : 0;
  ++operator_change->pending_attempts;
  const std::size_t index = simulator.Below(kDaemons);
  RunAt(index, hosts_[index].generation,
        [this, operator_change](SimulatedDaemon& daemon) {
          daemon.sync.Apply(
              operator_change->change,
              [this, operator_change](const ConfigApplier& apply) {
                OnAttemptDone(operator_change, apply);
              });
        });
  // Retries at another daemon, in case this one is killed or frozen.
  simulator.After(simulator.Between(8000, 60000),
                  [this, operator_change] { AttemptChange(operator_change); });
}

void ConfigSimulation::OnAttemptDone(
    const std::shared_ptr<OperatorChange>& operator_change,
    const ConfigApplier& apply) {
  --operator_change->pending_attempts;
  const bool in_log = store.IsApplied(operator_change->change.change_id);
  switch (apply.state()) {
    case ConfigApplier::State::kApplied:
      Require(in_log, "a change that is reported as applied is in the log",
              simulator.now());
      applied += operator_change->settled ? 0 : 1;
      operator_change->settled = true;
      return;
    case ConfigApplier::State::kConflict:
    case ConfigApplier::State::kInvalid:
      Require(!in_log, "a change that is rejected is not in the log",
              simulator.now());
      ++(apply.state() == ConfigApplier::State::kConflict ? conflicts
                                                          : invalid);
      operator_change->settled = true;
      return;
    default:
      simulator.After(simulator.Between(100, 30000), [this, operator_change] {
        AttemptChange(operator_change);
      });
  }
}

void ConfigSimulation::Run(std::uint64_t events) {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    Start(i);
    Tick(i);
  }
  for (std::size_t i = 0; i < kOperators; ++i) {
    SubmitRandomChange();
  }
  InjectFault();
  while (simulator.events() < events) {
    faults_enabled_ = true;
    store.fault_free = false;
    simulator.RunFor(seconds(120));
    EndFaults();
    simulator.RunFor(kConvergenceTime);
    for (const Host& host : hosts_) {
      host.daemon->Check();
      Require(host.daemon->follower.revision() == store.head() &&
                  host.daemon->follower.known(),
              "every daemon reaches the latest revision soon after faults end",
              simulator.now());
    }
  }
}

}  // namespace
}  // namespace gentianroute::random_config

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  std::uint64_t events = 100'000;
  CLI::App app{"Random simulation of configuration changes"};
  app.add_option("--seed", seed, "first seed");
  app.add_option("--seeds", seeds, "number of seeds");
  app.add_option("--events", events, "events per seed");
  CLI11_PARSE(app, argc, argv);
  for (std::uint64_t i = 0; i < seeds; ++i) {
    std::printf("seed=%s ", std::to_string(seed + i).c_str());
    std::fflush(stdout);
    gentianroute::random_config::ConfigSimulation simulation(seed + i);
    simulation.Run(events);
    std::printf(
        "events=%llu revisions=%llu rows=%zu applied=%llu conflicts=%llu "
        "invalid=%llu asked_again=%llu snapshots_read=%llu\n",
        static_cast<unsigned long long>(simulation.simulator.events()),
        static_cast<unsigned long long>(simulation.store.head()),
        simulation.store.CountRevisionRows(),
        static_cast<unsigned long long>(simulation.applied),
        static_cast<unsigned long long>(simulation.conflicts),
        static_cast<unsigned long long>(simulation.invalid),
        static_cast<unsigned long long>(simulation.asked_again),
        static_cast<unsigned long long>(simulation.snapshots_read));
    const auto orders =
        gentianroute::random_config::RunOrderSimulation(seed + i, events / 4);
    std::printf("  orders: events=%llu terms=%llu sent=%llu refused=%llu\n",
                static_cast<unsigned long long>(orders.events),
                static_cast<unsigned long long>(orders.terms),
                static_cast<unsigned long long>(orders.orders),
                static_cast<unsigned long long>(orders.refused));
  }
  return 0;
}
