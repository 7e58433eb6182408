// Measures how the CPU time, memory and message sizes of a daemon grow with the
// size of the deployment. Source of the figures in docs/CAPACITY.md.

#include <algorithm>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <CLI/CLI.hpp>

#include "gentianroute/decision/claim_ledger.h"
#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/schema/declarations.h"
#include "gentianroute/schema/rows.h"
#include "gossip_simulation.h"
#include "linear_fit.h"

#include <peer.capnp.h>

namespace {

using namespace gentianroute;            // NOLINT
using namespace gentianroute::capacity;  // NOLINT

constexpr int kRuns = 5;
constexpr double kMicros = 1e6;
constexpr std::size_t kServers = 10'000;
constexpr std::size_t kOrganisations = 5'400;
const std::vector<std::size_t> kServerSizes = {100, 1'000, 5'000, 10'000};
const std::vector<std::size_t> kOrganisationSizes = {50, 500, 2'000, 5'400};

std::vector<HostRecord> MakeHosts(std::size_t count) {
  constexpr std::size_t kDataCentres = 11;
  constexpr std::size_t kRegions = 5;
  std::vector<HostRecord> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    HostRecord host;
    host.name = "engine-" + std::to_string(i);
    host.address = "127.0.0.1";
    host.port = 9000;
    host.pool = "llm";
    host.data_centre = "data-centre-" + std::to_string(i % kDataCentres);
    host.region = "region-" + std::to_string(i % kDataCentres % kRegions);
    host.incarnation = 1;
    host.slots = 8;
    hosts.push_back(std::move(host));
  }
  return hosts;
}

LinearFit HostListTime() {
  std::vector<Point> points;
  for (const std::size_t size : kServerSizes) {
    const std::vector<HostRecord> hosts = MakeHosts(size);
    ServerTable table({}, {});
    table.ApplyHostList(TimePoint{}, hosts);
    points.push_back(
        {static_cast<double>(size), kMicros * ShortestRun(kRuns, [&] {
                                      table.ApplyHostList(TimePoint{}, hosts);
                                    })});
  }
  return FitLine("take over an unchanged host list", "servers", "us",
                 std::move(points), kServers);
}

LinearFit HostListMemory() {
  std::vector<Point> points;
  for (const std::size_t size : kServerSizes) {
    const std::vector<HostRecord> hosts = MakeHosts(size);
    const double before = HeapBytes();
    ServerTable table({}, {});
    table.ApplyHostList(TimePoint{}, hosts);
    points.push_back({static_cast<double>(size), HeapBytes() - before});
  }
  return FitLine("server table", "servers", "bytes", std::move(points),
                 kServers);
}

LinearFit HostListBytes() {
  std::vector<Point> points;
  for (const std::size_t size : kServerSizes) {
    nlohmann::json list = nlohmann::json::array();
    for (const HostRecord& host : MakeHosts(size)) {
      list.push_back({{"name", host.name},
                      {"address", host.address},
                      {"port", host.port},
                      {"pool", host.pool},
                      {"data_centre", host.data_centre},
                      {"region", host.region},
                      {"incarnation", host.incarnation},
                      {"slots", host.slots},
                      {"load", host.load},
                      {"load_age_ms", 0}});
    }
    points.push_back(
        {static_cast<double>(size), static_cast<double>(list.dump().size())});
  }
  return FitLine("whole host list as JSON", "servers", "bytes",
                 std::move(points), kServers);
}

LinearFit HeaviestTime() {
  std::vector<Point> points;
  constexpr std::size_t kRecordsPerDigest = 6;
  for (const std::size_t size : kOrganisationSizes) {
    UsageLedger ledger;
    for (std::size_t i = 0; i < size; ++i) {
      ledger.Charge(TimePoint{}, "organisation-" + std::to_string(i),
                    "subscriber", static_cast<double>(i + 1));
    }
    points.push_back({static_cast<double>(size),
                      kMicros * ShortestRun(kRuns, [&] {
                        ledger.Heaviest(TimePoint{}, kRecordsPerDigest);
                      })});
  }
  return FitLine("heaviest records for a digest", "organisations", "us",
                 std::move(points), kOrganisations);
}

LinearFit UsageMemory() {
  std::vector<Point> points;
  for (const std::size_t size : kOrganisationSizes) {
    const double before = HeapBytes();
    UsageLedger ledger;
    for (std::size_t i = 0; i < size; ++i) {
      ledger.Charge(TimePoint{}, "organisation-" + std::to_string(i),
                    "subscriber", 1.0);
    }
    points.push_back({static_cast<double>(size), HeapBytes() - before});
  }
  return FitLine("usage ledger, one subscriber each", "organisations", "bytes",
                 std::move(points), kOrganisations);
}

LinearFit DigestBytes() {
  std::vector<Point> points;
  for (const unsigned size : {0U, 2U, 4U, 6U, 12U}) {
    capnp::MallocMessageBuilder message;
    auto digest = message.initRoot<schema::Digest>();
    digest.setDaemon("entry-host-123");
    digest.setDataCentre("data-centre-7");
    auto heavy = digest.initHeavy(size);
    for (unsigned i = 0; i < size; ++i) {
      heavy[i].setOrganisation("organisation-" + std::to_string(i));
      heavy[i].setSubscriber("subscriber-" + std::to_string(i));
      heavy[i].setCost(123.456 + i);
    }
    kj::VectorOutputStream stream;
    capnp::writeMessage(stream, message);
    points.push_back({static_cast<double>(size),
                      static_cast<double>(stream.getArray().size())});
  }
  constexpr double kRecordsPerDigest = 6;
  return FitLine("digest between two daemons", "heaviest records", "bytes",
                 std::move(points), kRecordsPerDigest);
}

Documents MakeDocuments(std::size_t profiles) {
  std::string text = R"({"pools":[{"name":"llm"}],"profiles":[)";
  for (std::size_t i = 0; i < profiles; ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"name":"profile-)" +
            std::to_string(i) + R"(","deadlineMs":6000,"stages":[)";
    for (int stage = 0; stage < 4; ++stage) {
      text += std::string(stage == 0 ? "" : ",") + R"({"name":"stage-)" +
              std::to_string(stage) +
              R"(","pool":"llm","costPerCallMicros":5,"expectedMs":50})";
    }
    text += "]}";
  }
  text += "]}";
  return leaf::try_handle_all(
      [&]() -> leaf::result<Documents> {
        return ParseDeclarations("generated", text);
      },
      [] { return Documents{}; });
}

LinearFit RevisionTime() {
  std::vector<Point> points;
  const JsonConfigCodec codec;
  for (const std::size_t size : {4U, 12U, 48U, 96U}) {
    ConfigSnapshot snapshot;
    snapshot.revision = 1;
    snapshot.documents = MakeDocuments(size);
    ConfigFollower follower(codec);
    follower.Apply(snapshot);
    const auto first = snapshot.documents.begin();
    ConfigRevision change;
    change.revision = 1;
    points.push_back({static_cast<double>(size),
                      kMicros * ShortestRun(kRuns, [&] {
                        ++change.revision;
                        change.changes = {
                            {first->first.first, first->first.second,
                             first->second.body, change.revision - 1}};
                        follower.Apply(std::span(&change, 1));
                      })});
  }
  constexpr double kTargetProfiles = 12;
  return FitLine("take a revision over", "profiles in force", "us",
                 std::move(points), kTargetProfiles);
}

/// Makes and settles claims against a table service that commits at once.
/// @return microseconds for all claims
double ClaimCycleMicros(std::size_t claims) {
  const JsonClaimCodec codec;
  ClaimLedger::Options options;
  options.daemon = "entry-host-1";
  options.incarnation = 1;
  options.batch_window = Duration{0};
  ClaimLedger ledger(options, codec);
  std::uint64_t version = 1;
  const auto commit_operations = [&](TimePoint now) {
    for (const ClaimOperation& operation : ledger.TakeOperations()) {
      TransactResult result;
      result.status = TableStatus::kCommitted;
      for (std::size_t i = 0; i < operation.transaction.writes.size(); ++i) {
        result.versions.push_back(version++);
      }
      ledger.OnTransacted(now, operation.id, result);
    }
  };
  const std::string answer(200, 'a');
  const double seconds = ShortestRun(1, [&] {
    for (std::size_t i = 0; i < claims; ++i) {
      const TimePoint now{Duration(static_cast<std::int64_t>(i))};
      const std::string token =
          ledger.Begin(now, 0, RequestId{i + 1}, "organisation",
                       "key-" + std::to_string(i), "digest");
      ledger.Advance(now);
      commit_operations(now);
      ledger.TakeResults();
      ledger.Complete(now, token, ClaimState::kAnswered, 200, answer);
      ledger.Advance(now);
      commit_operations(now);
    }
  });
  return kMicros * seconds;
}

LinearFit ClaimTime() {
  std::vector<Point> points;
  for (const std::size_t size : {1'000U, 5'000U, 20'000U}) {
    points.push_back({static_cast<double>(size), ClaimCycleMicros(size)});
  }
  constexpr double kTargetClaims = 1'000;
  return FitLine("claims made and settled", "claims", "us", std::move(points),
                 kTargetClaims);
}

/// Returns the slowest convergence of several seeds by number of daemons, since
/// every daemon must have applied the revision.
LinearFit ConvergenceTime(const std::string& name, std::uint32_t rumours) {
  constexpr std::uint64_t kSeeds = 20;
  constexpr double kDaemons = 810;
  std::vector<Point> points;
  for (const std::size_t daemons : {9U, 90U, 270U, 810U}) {
    double slowest = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      slowest = std::max(slowest, ConvergenceSeconds({daemons, rumours, seed}));
    }
    points.push_back({static_cast<double>(daemons), slowest});
  }
  return FitLine(name, "daemons", "virtual s", std::move(points), kDaemons);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"measures how the work and state of one daemon grow with size"};
  std::string output = "text";
  app.add_option("--output", output)->check(CLI::IsMember({"text", "json"}));
  CLI11_PARSE(app, argc, argv);
  const std::vector<LinearFit> fits = {
      HostListTime(),
      HostListMemory(),
      HostListBytes(),
      HeaviestTime(),
      UsageMemory(),
      DigestBytes(),
      RevisionTime(),
      ClaimTime(),
      ConvergenceTime("revision in force everywhere, with rumours", 1),
      ConvergenceTime("revision in force everywhere, without rumours", 0)};
  std::printf("%s\n",
              output == "json" ? ToJson(fits).c_str() : ToText(fits).c_str());
  return 0;
}
