// Random histories of a small fleet: releases and returns of software versions,
// losses of one and of all daemons, a store that is away or performs writes
// late, and routes that move. No stream may go on at a version, or at a
// service, other than the one that began it.

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/routing/route_moves.h"
#include "gentianroute/routing/software_versions.h"
#include "gentianroute/routing/version_record.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(100);
/// Callers take a stream up for this time.
constexpr Duration kStreamLife = seconds(30);
/// Time after which each daemon has the newest list.
constexpr Duration kPropagation = milliseconds(2500);
constexpr Duration kMemory = kStreamLife + kPropagation;
/// A write whose answer was lost takes effect within this time, or never.
constexpr int kMaxLateSteps = 40;

struct ListedServer {
  std::string id;
  std::string version;
  std::int64_t started = 0;
  TimePoint since{};
};

/// A write that the store performs later, if its condition still holds.
struct LateWrite {
  VersionRecord record;
  std::uint64_t expected = 0;
  int steps_left = 0;
};

/// The store: the list of servers of one service, and its version record.
struct ModelStore {
  std::vector<ListedServer> servers;
  std::uint64_t routes = 1;
  std::optional<VersionRecord> record;
  std::uint64_t row_version = 0;
  bool reads = true;
  bool writes = true;
  std::vector<LateWrite> late;

  bool Write(const VersionRecord& next, std::uint64_t expected) {
    if (expected != row_version) {
      return false;
    }
    record = next;
    ++row_version;
    return true;
  }
  void PerformLateWrites() {
    for (LateWrite& write : late) {
      if (--write.steps_left == 0) {
        Write(write.record, write.expected);
      }
    }
    std::erase_if(late,
                  [](const LateWrite& write) { return write.steps_left == 0; });
  }
};

struct ModelDaemon {
  SoftwareVersions versions{kMemory};
  RouteMoves moves{kMemory};
  VersionRecords records{kMemory, kPropagation};
  std::uint64_t row_version = 0;
  std::uint64_t routes = 0;
  std::vector<ServerPtr> servers;
  TimePoint listed_at{};
  TimePoint copied_at{};               ///< when it last had its peer's record
  std::map<int, std::string> origins;  ///< version, by stream

  bool IsListed() const { return listed_at != TimePoint{}; }
};

struct ModelStream {
  std::string version;
  std::uint64_t routes = 0;  ///< in force when it began
  TimePoint begun_at{};
};

struct Model {
  static constexpr std::size_t kDaemons = 3;

  explicit Model(std::uint32_t seed, bool has_releases)
      : random(seed), releases(has_releases) {
    Start("v1");
    Start("v1");
    for (auto& daemon : daemons) {
      daemon.emplace();
      List(*daemon, SoftwareVersions::FleetState::kNew);
    }
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random) < probability;
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  void Start(const std::string& version) {
    ++started;
    store.servers.push_back(
        {"server-" + std::to_string(started), version, started, now});
  }

  /// Reads the list and the deployment.
  void List(ModelDaemon& daemon, SoftwareVersions::FleetState fleet) {
    const auto is_gone = [this](const ServerPtr& server) {
      return std::ranges::none_of(store.servers, [&](const ListedServer& now) {
        return now.id == server->record().id;
      });
    };
    for (const ServerPtr& server : daemon.servers) {
      if (is_gone(server)) {
        daemon.versions.OnGone(now, server->record());
      }
    }
    const bool missed =
        daemon.IsListed() && now - daemon.listed_at > seconds(2);
    daemon.servers.clear();
    for (const ListedServer& server : store.servers) {
      ServerRecord record;
      record.id = server.id;
      record.service = "model";
      record.software_version = server.version;
      record.started_at_unix_ms = server.started;
      daemon.servers.emplace_back(new Server(record));
    }
    daemon.versions.OnListed(now, fleet);
    if (missed) {
      daemon.versions.OnMissed(now);
    }
    if (daemon.IsListed() && daemon.routes != store.routes) {
      daemon.moves.OnMissed(now, "model");
    }
    daemon.routes = store.routes;
    daemon.listed_at = now;
  }

  StreamKnowledge KnowledgeOf(const ModelDaemon& daemon) const {
    StreamKnowledge knowledge;
    knowledge.servers = daemon.servers;
    knowledge.gone = daemon.versions.GoneLately(now, "model");
    knowledge.covers_streams = daemon.versions.CoversStreams(now, "model");
    knowledge.routes_moved = daemon.moves.Concerns(now, "model");
    knowledge.routes = daemon.routes;
    knowledge.data_centre = "north";
    return knowledge;
  }
  void Adopt(ModelDaemon& daemon) const {
    daemon.records.Set(now, "model", store.record);
    daemon.row_version = store.row_version;
  }
  void Write(ModelDaemon& daemon) {
    const auto next = daemon.records.Next(now, "model", KnowledgeOf(daemon));
    if (!next || !store.writes) {
      return;
    }
    if (Chance(0.1)) {
      store.late.push_back({*next, daemon.row_version,
                            1 + static_cast<int>(Pick(kMaxLateSteps))});
      return;
    }
    store.Write(*next, daemon.row_version);
    Adopt(daemon);
  }

  /// Takes over the record that a peer knows, if it is newer.
  void Copy(const ModelDaemon& from, ModelDaemon& to) const {
    to.copied_at = now;
    if (from.row_version <= to.row_version) {
      return;
    }
    const VersionRecord* record = from.records.Find("model");
    to.records.Set(now, "model",
                   record == nullptr ? std::nullopt : std::optional(*record));
    to.row_version = from.row_version;
  }

  void RunDaemons() {
    const ModelDaemon* first = nullptr;
    for (auto& daemon : daemons) {
      if (!daemon) {
        if (store.reads && Chance(0.3)) {
          daemon.emplace();
          Adopt(*daemon);
          daemon->copied_at = now;
          List(*daemon, SoftwareVersions::FleetState::kRunning);
        }
        continue;
      }
      // The first one reads the store, and the others copy from it.
      const bool is_due = now - daemon->listed_at >= kPropagation - kStep;
      if (store.reads && (first == nullptr || is_due || Chance(0.3))) {
        List(*daemon, SoftwareVersions::FleetState::kRunning);
      }
      const bool is_copy_due = now - daemon->copied_at >= kPropagation - kStep;
      if (first == nullptr) {
        Write(*daemon);
        first = &*daemon;
      } else if (is_copy_due || Chance(0.3)) {
        Copy(*first, *daemon);
      }
    }
  }

  void Disturb() {
    if (Chance(0.02)) {
      store.reads = !store.reads;
    }
    if (Chance(0.02)) {
      store.writes = !store.writes;
    }
    if (Chance(0.02)) {
      daemons[Pick(kDaemons)].reset();
    }
    if (Chance(0.015)) {
      LoseAll();
    }
    if (!releases) {
      return;
    }
    if (Chance(0.04)) {
      Start("v" + std::to_string(1 + Pick(3)));
    }
    if (store.servers.size() > 1 && Chance(0.04)) {
      const auto server =
          store.servers.begin() +
          static_cast<std::ptrdiff_t>(Pick(store.servers.size()));
      // The feed tells a daemon of a shorter life; this list wouldn't.
      if (now - server->since >= kPropagation) {
        store.servers.erase(server);
      }
    }
    if (Chance(0.005)) {
      ++store.routes;
    }
  }

  /// Loses all daemons, and often the servers of a version with them.
  void LoseAll() {
    for (auto& daemon : daemons) {
      daemon.reset();
    }
    if (!releases || Chance(0.3)) {
      return;
    }
    const std::string version = "v" + std::to_string(1 + Pick(3));
    std::erase_if(store.servers, [&version](const ListedServer& server) {
      return server.version == version;
    });
    if (store.servers.empty()) {
      Start("v" + std::to_string(1 + Pick(3)));
    }
    store.reads = true;
  }

  /// Begins a stream at a server that the daemon may choose and that lives.
  void BeginStream() {
    auto& daemon = daemons[Pick(kDaemons)];
    if (!daemon || daemon->servers.empty()) {
      return;
    }
    const std::vector<std::string> allowed =
        daemon->records.VersionsForNewStreams("model", daemon->servers);
    const ServerPtr& server = daemon->servers[Pick(daemon->servers.size())];
    const std::string& version = server->record().software_version;
    const bool may_begin =
        allowed.empty() || std::ranges::find(allowed, version) != allowed.end();
    const bool lives =
        std::ranges::any_of(store.servers, [&](const ListedServer& listed) {
          return listed.id == server->record().id;
        });
    if (!may_begin || !lives) {
      return;
    }
    const int id = static_cast<int>(streams.size());
    streams.push_back({version, daemon->routes, now});
    daemon->origins[id] = version;
  }

  /// What a daemon says of a stream after the store has confirmed it.
  OriginReport ConfirmedReport(ModelDaemon& daemon) {
    if (store.reads) {
      List(daemon, SoftwareVersions::FleetState::kRunning);
      if (!daemon.versions.CoversStreams(now, "model")) {
        Adopt(daemon);
        const VersionRecord* record = daemon.records.Find("model");
        if (daemon.records.IsComplete("model", daemon.servers)) {
          daemon.versions.OnRecordRead(now, "model",
                                       record->VersionsBesides(daemon.servers));
          if (record->routes_moved || record->routes != daemon.routes) {
            daemon.moves.OnMissed(now, "model");
          }
        }
      }
    }
    OriginReport report = PlainReport(daemon);
    if (store.reads) {
      report.serving = OnlyListedVersion("model", daemon.servers);
    }
    return report;
  }
  OriginReport PlainReport(const ModelDaemon& daemon) const {
    if (daemon.moves.Concerns(now, "model")) {
      return {OriginEvidence::kSeveralVersions, {}, {}};
    }
    return daemon.versions.Report(now, "model", daemon.servers);
  }

  void TakeStreamUp() {
    auto& daemon = daemons[Pick(kDaemons)];
    if (!daemon || streams.empty()) {
      return;
    }
    const int id = static_cast<int>(Pick(streams.size()));
    const ModelStream& stream = streams[static_cast<std::size_t>(id)];
    if (now >= stream.begun_at + kStreamLife) {
      return;
    }
    OriginReports reports;
    for (auto& other : daemons) {
      if (other && other->origins.contains(id)) {
        return;  // its origin is known
      }
      if (other && &other != &daemon) {
        reports.Add(PlainReport(*other));
      }
    }
    reports.Add(ConfirmedReport(*daemon));
    ++taken_up;
    const auto origin = reports.Origin();
    if (!origin) {
      refused += store.reads && store.record && !store.record->is_draft ? 1 : 0;
      return;
    }
    ++went_on;
    joined += origin->software_version != stream.version ||
                      daemon->routes != stream.routes
                  ? 1
                  : 0;
  }

  void Run() {
    constexpr int kSteps = 2000;
    for (int i = 0; i < kSteps; ++i) {
      now += kStep;
      Disturb();
      store.PerformLateWrites();
      RunDaemons();
      BeginStream();
      BeginStream();
      TakeStreamUp();
      TakeStreamUp();
    }
  }

  std::mt19937 random;
  bool releases;
  TimePoint now = kStart;
  std::int64_t started = 0;
  ModelStore store;
  std::array<std::optional<ModelDaemon>, kDaemons> daemons;
  std::vector<ModelStream> streams;
  int taken_up = 0;
  int went_on = 0;
  int refused = 0;  ///< though the store answers and has a record
  int joined = 0;   ///< at another version or service
};

constexpr std::uint32_t kSeeds = 300;

}  // namespace

TestSuite(version_record_model);

// Guards against a stream going on at a version that nobody vouches for.
Test(version_record_model, releases_and_losses_no_stream_is_joined) {
  int went_on = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed, true);
    model.Run();
    cr_assert_eq(model.joined, 0, "seed %u: %d of %d joined", seed,
                 model.joined, model.went_on);
    went_on += model.went_on;
  }
  cr_assert_gt(went_on, 0);
}

// Guards against a stream being refused though one version only was ever there.
Test(version_record_model, one_version_losses_no_stream_is_refused) {
  int went_on = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed, false);
    model.Run();
    cr_assert_eq(model.refused, 0, "seed %u: %d of %d refused", seed,
                 model.refused, model.taken_up);
    went_on += model.went_on;
  }
  cr_assert_gt(went_on, 0);
}
