// A seeded random run of the configuration's decisions in virtual time: real
// followers, appliers, snapshot writers and poll schedules of nine daemons in
// three data centres, over a store with outages, lost answers and late writes.
// Daemons are cut off, frozen and killed; operators race. What must hold is
// checked in the store and after every step of a daemon.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <memory>

#include "config_store.h"
#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/poll_schedule.h"
#include "gentianroute/entry/config_sync.h"
#include "order_run.h"

namespace gentianroute::random_config {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDaemons = 9;
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kFanout = 2;
constexpr std::size_t kOperators = 6;
constexpr std::size_t kNames = 5;
constexpr ConfigRetention kRetention{16, 256, 4};
/// From healing to everybody at the head: a few silent periods and a poll.
constexpr Duration kConvergence = seconds(20);

class Run;

/// One process: what it knows is lost when it is killed.
class Process final : public TableService, public ObjectStore {
 public:
  Process(Run& run, std::size_t index);
  ~Process() override = default;

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

  Run& run_;
  std::size_t index_;
  std::uint64_t seen_ = 0;
};

/// An operator's change, until the operator knows what became of it.
struct Wish {
  ConfigRevision change;
  std::uint32_t open = 0;  ///< attempts whose answer is not in
  std::uint32_t attempts = 0;
  bool settled = false;
};

class Run {
 public:
  explicit Run(std::uint64_t seed) : world(seed), store(world) {}
  void Go(std::uint64_t events);

  /// Runs an event at a process unless it has been killed since; a frozen
  /// process gets it when it thaws.
  void At(std::size_t index,
          std::uint64_t generation,
          const std::function<void(Process&)>& event);
  void Send(std::size_t from,
            std::size_t to,
            const std::function<void(Process&)>& event);
  std::uint64_t generation(std::size_t index) const {
    return hosts_[index].generation;
  }
  bool ReachesStore(std::size_t data_centre) const {
    return cut_from_store_ != data_centre;
  }

  World world;
  Store store;
  JsonConfigCodec codec;
  std::uint64_t applied = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t invalid = 0;
  std::uint64_t asked_again = 0;
  std::uint64_t snapshots_taken = 0;

 private:
  struct Host {
    std::unique_ptr<Process> process;
    std::uint64_t generation = 0;
    TimePoint frozen_until{};
  };

  void Start(std::size_t index);
  void Tick(std::size_t index);
  void Fault();
  void Heal();
  void Operate();
  void Attempt(const std::shared_ptr<Wish>& wish);
  void OnEnd(const std::shared_ptr<Wish>& wish, const ConfigApply& apply);
  DocumentChange RandomChange(const Documents& seen);

  std::vector<Host> hosts_ = std::vector<Host>(kDaemons);
  std::size_t cut_from_store_ = kDataCentres;
  std::size_t cut_from_peers_ = kDataCentres;
  std::uint64_t next_change_ = 0;
  bool faults_ = true;
};

Process::Process(Run& run, std::size_t index)
    : follower({16}, run.codec),
      schedule({"host" + std::to_string(index), 1}),
      sync(
          *this,
          *this,
          follower,
          run.codec,
          [this] { OnChanged(); },
          kRetention),
      run_(run),
      index_(index) {
  std::vector<std::string> neighbours;
  for (std::size_t i = data_centre(); i < kDaemons; i += kDataCentres) {
    neighbours.push_back("host" + std::to_string(i));
  }
  schedule.SetPeers(neighbours);
}

void Process::Transact(TableTransaction transaction,
                       std::function<void(TransactResult)> done) {
  const std::uint64_t generation = run_.generation(index_);
  auto answer = [&run = run_, index = index_, generation,
                 done](const TransactResult& result) {
    run.At(index, generation, [done, result](Process&) { done(result); });
  };
  if (!run_.ReachesStore(data_centre())) {
    run_.world.After(seconds(1), [answer] { answer({}); });
    return;
  }
  run_.store.Transact(transaction, answer);
}

void Process::Read(std::vector<TableKey> keys,
                   std::function<void(ReadResult)> done) {
  const std::uint64_t generation = run_.generation(index_);
  auto answer = [&run = run_, index = index_, generation,
                 done](const ReadResult& result) {
    run.At(index, generation, [done, result](Process&) { done(result); });
  };
  if (!run_.ReachesStore(data_centre())) {
    run_.world.After(seconds(1), [answer] { answer({}); });
    return;
  }
  run_.store.Read(keys, answer);
}

void Process::Get(std::string name, std::function<void(ObjectResult)> done) {
  const std::uint64_t generation = run_.generation(index_);
  ++run_.snapshots_taken;
  run_.store.Get(name, [&run = run_, index = index_, generation,
                        done](const ObjectResult& result) {
    run.At(index, generation, [done, result](Process&) { done(result); });
  });
}

void Process::Put(std::string name,
                  std::string content,
                  std::function<void(bool)> done) {
  const std::uint64_t generation = run_.generation(index_);
  run_.store.Put(name, content,
                 [&run = run_, index = index_, generation, done](bool stored) {
                   run.At(index, generation,
                          [done, stored](Process&) { done(stored); });
                 });
}

void Process::Poll() {
  if (schedule.IsPollDue(run_.world.now())) {
    sync.Poll([this](bool answered) {
      schedule.OnPolled(run_.world.now(), answered);
    });
  }
}

void Process::Gossip() {
  const std::uint64_t revision = follower.revision();
  const Duration age = schedule.Age(run_.world.now());
  for (std::size_t i = 0; i < kFanout; ++i) {
    const std::size_t peer = run_.world.Below(kDaemons);
    run_.Send(index_, peer, [this_index = index_, revision, age](Process& to) {
      to.OnDigest(this_index, revision, age);
    });
  }
}

void Process::OnDigest(std::size_t peer, std::uint64_t revision, Duration age) {
  if (age != Duration::max()) {
    schedule.OnPeerReadAge(run_.world.now(), age);
  }
  follower.OnRevisionSeen(revision);
  if (revision < follower.revision()) {  // the other half of an exchange
    run_.Send(index_, peer,
              [this_index = index_, own = follower.revision()](Process& to) {
                to.OnDigest(this_index, own, Duration::max());
              });
  }
  if (revision <= follower.revision()) {
    return;
  }
  run_.Send(index_, peer,
            [this_index = index_, after = follower.revision()](Process& from) {
              const auto revisions = from.follower.After(after, 8);
              const ConfigSnapshot snapshot = from.follower.Snapshot();
              from.run_.Send(
                  from.index_, this_index, [revisions, snapshot](Process& to) {
                    const bool changed = revisions.empty()
                                             ? to.follower.Apply(snapshot)
                                             : to.follower.Apply(revisions);
                    if (changed) {
                      to.OnChanged();
                    }
                  });
            });
}

void Process::OnChanged() {
  Check();
  Gossip();
}

void Process::Check() {
  const std::uint64_t revision = follower.revision();
  Require(revision >= seen_, "a daemon's revision only grows",
          run_.world.now());
  seen_ = revision;
  Require(revision <= run_.store.head(), "no daemon runs ahead of the log",
          run_.world.now());
  const Documents& truth = run_.store.At(revision);
  const Documents& held = follower.documents();
  const bool same =
      std::ranges::equal(truth, held, [](const auto& left, const auto& right) {
        return left.first == right.first &&
               left.second.body == right.second.body &&
               left.second.revision == right.second.revision;
      });
  Require(same, "a daemon holds what the log says at its revision",
          run_.world.now());
}

void Run::At(std::size_t index,
             std::uint64_t generation,
             const std::function<void(Process&)>& event) {
  Host& host = hosts_[index];
  if (host.generation != generation) {
    return;
  }
  if (world.now() < host.frozen_until) {
    world.After(host.frozen_until - world.now(),
                [=, this] { At(index, generation, event); });
    return;
  }
  event(*host.process);
}

void Run::Send(std::size_t from,
               std::size_t to,
               const std::function<void(Process&)>& event) {
  const bool apart = from % kDataCentres != to % kDataCentres &&
                     (from % kDataCentres == cut_from_peers_ ||
                      to % kDataCentres == cut_from_peers_);
  if (apart || from == to || (faults_ && world.Chance(2))) {
    return;
  }
  // A message that arrives late comes from a peer that is stale by then.
  const Duration delay = faults_ && world.Chance(3) ? world.Between(500, 5000)
                                                    : world.Between(1, 25);
  world.After(delay, [=, this] { At(to, hosts_[to].generation, event); });
}

void Run::Start(std::size_t index) {
  Host& host = hosts_[index];
  ++host.generation;
  host.frozen_until = {};
  host.process = std::make_unique<Process>(*this, index);
}

void Run::Tick(std::size_t index) {
  world.After(seconds(1), [this, index] { Tick(index); });
  At(index, hosts_[index].generation, [](Process& process) {
    process.Poll();
    process.Gossip();
  });
}

void Run::Fault() {
  world.After(world.Between(200, 3000), [this] { Fault(); });
  if (!faults_) {
    return;
  }
  const std::size_t victim = world.Below(kDaemons);
  switch (world.Below(8)) {
    case 0:
      Start(victim);
      return;
    case 1:
      hosts_[victim].frozen_until = world.now() + world.Between(100, 15000);
      return;
    case 2:
      store.out = true;
      return;
    case 3:
      cut_from_peers_ = world.Below(kDataCentres);
      return;
    case 4:
      cut_from_store_ = world.Below(kDataCentres);
      return;
    default:
      store.out = false;
      cut_from_peers_ = cut_from_store_ = kDataCentres;
  }
}

void Run::Heal() {
  faults_ = false;
  store.out = false;
  store.healthy = true;
  cut_from_peers_ = cut_from_store_ = kDataCentres;
  for (Host& host : hosts_) {
    host.frozen_until = {};
  }
}

DocumentChange Run::RandomChange(const Documents& seen) {
  const auto number = [this] { return std::to_string(world.Below(kNames)); };
  DocumentChange change;
  change.kind = static_cast<DocumentKind>(world.Below(3));
  change.name = number();
  const std::string named = R"({"name":")" + change.name + '"';
  if (change.kind == DocumentKind::kPool) {
    change.body =
        named + R"(,"fenced":)" + (world.Chance(50) ? "true}" : "false}");
  } else if (change.kind == DocumentKind::kProfile) {
    change.body = named + R"(,"stages":[{"name":"a","pool":")" + number() +
                  R"(","expectedMs":)" + std::to_string(world.Below(999) + 1) +
                  "}]}";
  } else {
    change.body = named + R"(,"profile":")" + number() + R"("})";
  }
  const auto found = seen.find(change.FullName());
  if (found != seen.end()) {
    change.base_revision = found->second.revision;
    if (world.Chance(25)) {
      change.body.clear();
    }
  }
  return change;
}

void Run::Operate() {
  world.After(world.Between(100, 4000), [this] { Operate(); });
  if (!faults_) {
    return;
  }
  auto wish = std::make_shared<Wish>();
  wish->change.change_id = "change" + std::to_string(next_change_++);
  const Documents& seen =
      hosts_[world.Below(kDaemons)].process->follower.documents();
  wish->change.changes.push_back(RandomChange(seen));
  Attempt(wish);
}

void Run::Attempt(const std::shared_ptr<Wish>& wish) {
  constexpr std::uint32_t kMostAttempts = 6;
  if (!faults_) {
    world.After(kConvergence, [this, wish] { Attempt(wish); });
    return;
  }
  if (wish->settled || wish->attempts++ == kMostAttempts) {
    return;
  }
  asked_again += wish->attempts > 1 ? 1 : 0;
  ++wish->open;
  const std::size_t index = world.Below(kDaemons);
  At(index, hosts_[index].generation, [this, wish](Process& process) {
    process.sync.Apply(wish->change, [this, wish](const ConfigApply& apply) {
      OnEnd(wish, apply);
    });
  });
  // The daemon may die or freeze: the operator asks another one.
  world.After(world.Between(8000, 60000), [this, wish] { Attempt(wish); });
}

void Run::OnEnd(const std::shared_ptr<Wish>& wish, const ConfigApply& apply) {
  --wish->open;
  const bool stands = store.Applied(wish->change.change_id);
  switch (apply.state()) {
    case ConfigApply::State::kApplied:
      Require(stands, "a change that is said to be applied is in the log",
              world.now());
      applied += wish->settled ? 0 : 1;
      wish->settled = true;
      return;
    case ConfigApply::State::kConflict:
    case ConfigApply::State::kInvalid:
      Require(!stands, "a change that is refused is not in the log",
              world.now());
      ++(apply.state() == ConfigApply::State::kConflict ? conflicts : invalid);
      wish->settled = true;
      return;
    default:
      world.After(world.Between(100, 30000), [this, wish] { Attempt(wish); });
  }
}

void Run::Go(std::uint64_t events) {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    Start(i);
    Tick(i);
  }
  for (std::size_t i = 0; i < kOperators; ++i) {
    Operate();
  }
  Fault();
  while (world.events() < events) {
    faults_ = true;
    store.healthy = false;
    world.RunFor(seconds(120));
    Heal();
    world.RunFor(kConvergence);
    for (const Host& host : hosts_) {
      host.process->Check();
      Require(host.process->follower.revision() == store.head() &&
                  host.process->follower.known(),
              "every daemon reaches the head soon after faults end",
              world.now());
    }
  }
}

}  // namespace
}  // namespace gentianroute::random_config

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  std::uint64_t events = 100'000;
  CLI::App app{"Random run of the configuration's decisions"};
  app.add_option("--seed", seed, "first seed");
  app.add_option("--seeds", seeds, "number of seeds");
  app.add_option("--events", events, "events for each seed");
  CLI11_PARSE(app, argc, argv);
  for (std::uint64_t i = 0; i < seeds; ++i) {
    std::printf("seed=%s ", std::to_string(seed + i).c_str());
    std::fflush(stdout);
    gentianroute::random_config::Run run(seed + i);
    run.Go(events);
    std::printf(
        "events=%llu revisions=%llu rows=%zu applied=%llu conflicts=%llu "
        "invalid=%llu asked_again=%llu snapshots_read=%llu\n",
        static_cast<unsigned long long>(run.world.events()),
        static_cast<unsigned long long>(run.store.head()),
        run.store.revision_rows(), static_cast<unsigned long long>(run.applied),
        static_cast<unsigned long long>(run.conflicts),
        static_cast<unsigned long long>(run.invalid),
        static_cast<unsigned long long>(run.asked_again),
        static_cast<unsigned long long>(run.snapshots_taken));
    const auto orders =
        gentianroute::random_config::RunOrders(seed + i, events / 4);
    std::printf("  orders: events=%llu terms=%llu sent=%llu refused=%llu\n",
                static_cast<unsigned long long>(orders.events),
                static_cast<unsigned long long>(orders.terms),
                static_cast<unsigned long long>(orders.orders),
                static_cast<unsigned long long>(orders.refused));
  }
  return 0;
}
