// Measures the time per decision by number of servers and organisations.

#include <benchmark/benchmark.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

constexpr Duration kRequestInterval{100};

class NullClaimCodec : public ClaimCodec {
 public:
  std::string Encode(const Claim& /*claim*/) const override { return {}; }
  std::optional<Claim> Decode(std::string_view /*text*/) const override {
    return std::nullopt;
  }
};

std::vector<HostRecord> MakeHosts(std::int64_t count) {
  std::vector<HostRecord> hosts(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const std::string region = "region" + std::to_string(i % 3);
    hosts[i].name = "server" + std::to_string(i);
    hosts[i].pool = "pool";
    hosts[i].region = region;
    hosts[i].data_centre = region + "-1";
    hosts[i].incarnation = 1;
    hosts[i].slots = 4;
  }
  return hosts;
}

ServerTable::Options TableOptions() {
  ServerTable::Options options;
  options.region = "region0";
  options.data_centre = "region0-1";
  return options;
}

std::string OrganisationName(std::int64_t i) {
  return "organisation" + std::to_string(i);
}

void Pick(benchmark::State& state) {
  ServerTable table(TableOptions(), {});
  table.ApplyHostList({}, MakeHosts(state.range(0)));
  Rng rng(1);
  PickContext context;
  context.pool = "pool";
  for (auto _ : state) {
    const ServerRef server = table.Pick({}, context, rng);
    table.OnStart(*server);
    table.OnCancelled(*server);
  }
}

/// All servers but one are full: the worst case for a linear scan.
void PickWhenFull(benchmark::State& state) {
  ServerTable table(TableOptions(), {});
  table.ApplyHostList({}, MakeHosts(state.range(0)));
  for (const auto& [name, server] : table.servers()) {
    while (name != "server0" && server->in_flight < server->host.slots) {
      table.OnStart(*server);
    }
  }
  Rng rng(1);
  PickContext context;
  context.pool = "pool";
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.Pick({}, context, rng));
  }
}

void ApplyHostList(benchmark::State& state) {
  ServerTable table(TableOptions(), {});
  const std::vector<HostRecord> hosts = MakeHosts(state.range(0));
  for (auto _ : state) {
    table.ApplyHostList({}, hosts);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

void QueuePushPop(benchmark::State& state) {
  UsageLedger ledger;
  FairQueue queue(ledger);
  std::uint64_t next = 1;
  TimePoint now{};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    queue.Push({RequestId{next++}, OrganisationName(i), "s", 1, 0.1});
  }
  for (auto _ : state) {
    now += kRequestInterval;
    auto waiter = queue.Pop(now);
    waiter->request = RequestId{next++};
    queue.Push(std::move(*waiter));
  }
}

struct Daemon {
  explicit Daemon(std::int64_t hosts) : servers(TableOptions(), {}) {
    auto profile = std::make_shared<Profile>();
    profile->stages.push_back({"stage", "pool"});
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->profiles["profile"] = profile;
    catalogue->services["service"] = {"service", "profile"};
    coordinator.SetCatalogue(catalogue);
    servers.ApplyHostList({}, MakeHosts(hosts));
  }

  /// Submits one request and answers its only call.
  void Serve(TimePoint now, const std::string& organisation) {
    Submission submission;
    submission.service = "service";
    submission.organisation = organisation;
    submission.subscriber = "s";
    submission.body = "{}";
    coordinator.Submit(now, 0, std::move(submission));
    for (Action& action : coordinator.TakeActions()) {
      const auto* start = std::get_if<StartAttempt>(&action);
      if (start == nullptr) {
        continue;
      }
      coordinator.OnWritten(start->attempt);
      AttemptAnswer answer;
      answer.attempt = start->attempt;
      answer.echoed = start->attempt;
      answer.status = 200;
      answer.body = "{}";
      coordinator.OnAnswer(now, std::move(answer));
    }
    coordinator.Advance(now);
    benchmark::DoNotOptimize(coordinator.TakeActions());
  }

  NullClaimCodec codec;
  ServerTable servers;
  UsageLedger usage;
  SuspectTable suspects;
  ClaimLedger claims{ClaimLedger::Options{}, codec};
  Coordinator coordinator{Coordinator::Options{}, servers, usage, suspects,
                          claims};
};

void Request(benchmark::State& state) {
  Daemon daemon(state.range(0));
  std::vector<std::string> names;
  for (std::int64_t i = 0; i < state.range(1); ++i) {
    names.push_back(OrganisationName(i));
  }
  TimePoint now{};
  std::size_t next = 0;
  for (auto _ : state) {
    now += kRequestInterval;
    daemon.Serve(now, names[next++ % names.size()]);
  }
}

BENCHMARK(Pick)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(PickWhenFull)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(ApplyHostList)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(QueuePushPop)->Arg(5)->Arg(50)->Arg(540)->Arg(5400);
BENCHMARK(Request)->ArgsProduct({{10, 100, 1000, 10'000}, {5, 540, 5400}});

}  // namespace
}  // namespace gentianroute

BENCHMARK_MAIN();
