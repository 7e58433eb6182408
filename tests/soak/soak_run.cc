#include "soak_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace gentianroute::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kProcessCheckPeriod = milliseconds(30);
constexpr Duration kReadyLimit = std::chrono::seconds(20);
/// Time for all daemons to serve again once every fault is cleared.
constexpr Duration kRecoveryLimit = std::chrono::seconds(30);
constexpr Duration kPollPeriod = milliseconds(50);
constexpr std::uint64_t kValidKeys = 2;

json RouteJson(const std::string& name,
               const std::string& type,
               const std::string& service) {
  return {
      {"name", name},       {"hostname", "soak"}, {"prefix", "/" + name + "/"},
      {"type", type},       {"timeoutMs", 3000},  {"targetLatencyMs", 400},
      {"gapTargetMs", 200}, {"service", service}, {"maxAttempts", 2}};
}

json StageJson(const std::string& service, std::vector<int> after) {
  return {
      {"service", service}, {"after", std::move(after)}, {"sizeBytes", 1000}};
}

json StageServiceJson(const std::string& name) {
  return {{"name", name},
          {"segments",
           {{"slots", 1},
            {"batch", 12},
            {"callMs", 25.0},
            {"itemMs", 2.0},
            {"headroomMb", 5.0},
            {"handleS", 4.0}}}};
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      fault_random_(options_.seed),
      store_(loop_),
      context_{loop_, checker_, store_, random_, {}},
      callers_(loop_, checker_, random_, daemons_, operator_) {}

SoakRun::~SoakRun() {
  loop_.Cancel(process_check_timer_);
  loop_.Cancel(fault_timer_);
}

const std::vector<SoakRun::FaultKind>& SoakRun::FaultKinds() {
  static const std::vector<FaultKind> kinds = {
      {"kill a daemon", 4, &SoakRun::KillDaemon},
      {"kill most daemons", 1, &SoakRun::KillMostDaemons},
      {"stop a daemon", 5, &SoakRun::StopDaemon},
      {"pause a daemon", 5, &SoakRun::PauseDaemon},
      {"signal new settings", 2, &SoakRun::ReloadDaemonSettings},
      {"crash a server", 6, &SoakRun::CrashServer},
      {"replace a server", 4, &SoakRun::ReplaceServer},
      {"slow a server", 3, &SoakRun::SlowServer},
      {"lose answers", 3, &SoakRun::LoseResponses},
      {"send stray answers", 3, &SoakRun::SendStrayResponses},
      {"break streams", 3, &SoakRun::BreakStreams},
      {"harm a server's link", 6, &SoakRun::ImpairServerLink},
      {"silence a server's open links", 3, &SoakRun::SilenceServerLinks},
      {"harm a link to the store", 5, &SoakRun::ImpairStoreLink},
      {"silence open links to the store", 2, &SoakRun::SilenceStoreLinks},
      {"take the store down", 2, &SoakRun::TakeStoreDown},
      {"change the configuration", 6, &SoakRun::ChangeDeployment},
      {"a newer version joins", 1, &SoakRun::JoinVersion},
      {"pause a daemon as a version joins, kill its peers", 2,
       &SoakRun::PauseDaemonAsVersionJoins},
      {"cut off a daemon from the store as a version joins, kill its peers", 2,
       &SoakRun::CutStoreAsVersionJoins},
  };
  return kinds;
}

void SoakRun::AddServers() {
  for (const std::string place : {"north", "south"}) {
    for (int i = 0; i < 2; ++i) {
      servers_.push_back(
          std::make_unique<PlainServer>(context_, "ledger", place));
      servers_.push_back(
          std::make_unique<PlainServer>(context_, "plain", place));
      servers_.push_back(
          std::make_unique<StageServer>(context_, "encode", place));
      servers_.push_back(
          std::make_unique<StageServer>(context_, "rank", place));
    }
  }
  for (const auto& server : servers_) {
    server->Start(false);
  }
  AddModelServers();
}

void SoakRun::AddModelServers() {
  constexpr int kRunning = 2;
  // The others start with a newer version of the software.
  constexpr int kServers = 4;
  for (const std::string place : {"north", "south"}) {
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(
          std::make_unique<ModelServer>(context_, "model", place));
      model_servers_.push_back(servers_.back().get());
      if (i < kRunning) {
        servers_.back()->Start(false);
      }
    }
  }
}

void SoakRun::AddDaemons() {
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    daemons_.push_back(std::make_unique<SoakDaemon>(
        loop_, checker_, i, i % 2 == 0 ? "north" : "south",
        store_.server().port(), options_.folder));
    daemons_.back()->Start();
  }
  process_check_timer_ = loop_.Every(kProcessCheckPeriod, [this] {
    for (const auto& daemon : daemons_) {
      daemon->CheckProcess();
    }
  });
}

void SoakRun::StoreDeployment() {
  json draft = RouteJson("draft", "streaming", "model");
  draft["resumable"] = true;
  draft["phases"] = {StageJson("encode", {}), StageJson("rank", {0})};
  json chat = RouteJson("chat", "streaming", "model");
  chat["maxAttempts"] = 1;
  chat["phases"] = json::array({StageJson("encode", {})});
  json once = RouteJson("once", "non_idempotent", "ledger");
  once["maxAttempts"] = 1;
  json routes = {draft, chat, once, RouteJson("safe", "idempotent", "plain")};
  for (std::uint64_t i = kFirstVersion; i <= operator_.version; ++i) {
    routes.push_back(RouteJson("v" + std::to_string(i), "idempotent", "plain"));
  }
  json keys = json::array();
  for (std::uint64_t i = 0; i < kValidKeys && i < operator_.version; ++i) {
    keys.push_back(ChangingKey(operator_.version - i));
  }
  const json deployment = {
      {"version", operator_.version},
      {"routes", std::move(routes)},
      {"services",
       {{{"name", "ledger"}},
        {{"name", "plain"}},
        {{"name", "model"}, {"backend", {{"slots", 8}, {"kvCapacity", 90000}}}},
        StageServiceJson("encode"),
        StageServiceJson("rank")}},
      {"tenants",
       {{{"name", "steady"}, {"apiKeys", {"key-steady"}}},
        {{"name", "changing"}, {"apiKeys", std::move(keys)}}}}};
  store_.Put("op", "config", deployment.dump());
}

void SoakRun::RunLoopFor(Duration time) {
  loop_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

SoakReport SoakRun::Run() {
  if (DrawnKinds().empty()) {
    throw std::invalid_argument("no fault is called '" + options_.only + "'");
  }
  StoreDeployment();
  AddServers();
  AddDaemons();
  WaitUntilReady();
  callers_.Start(options_.callers);
  ScheduleFault();
  RunLoopFor(options_.length);
  ClearFaults();
  CheckRecovery();
  callers_.Stop();
  const TimePoint limit = loop_.Now() + kRecoveryLimit;
  while (callers_.open() > 0 && loop_.Now() < limit) {
    RunLoopFor(kPollPeriod);
  }
  report_.violations = checker_.violations();
  report_.requests = checker_.requests();
  report_.answered = checker_.answered();
  report_.refused = checker_.refused();
  report_.taken_up = checker_.taken_up();
  report_.went_on = checker_.went_on();
  return report_;
}

void SoakRun::WaitUntilReady() {
  const TimePoint limit = loop_.Now() + kReadyLimit;
  std::size_t served = 0;
  for (const auto& daemon : daemons_) {
    served += RequestUntilServed(*daemon, limit) ? 1 : 0;
  }
  if (served < daemons_.size()) {
    checker_.AddViolation("a daemon does not serve after startup");
  }
}

void SoakRun::ScheduleFault() {
  fault_timer_ =
      loop_.After(DrawTime(60, options_.max_gap_ms), [this] { BeginFault(); });
}

std::vector<SoakRun::FaultKind> SoakRun::DrawnKinds() const {
  std::vector<FaultKind> kinds = FaultKinds();
  std::erase_if(kinds, [this](const FaultKind& kind) {
    return kind.name.find(options_.only) == std::string_view::npos;
  });
  return kinds;
}

void SoakRun::BeginFault() {
  const std::vector<FaultKind> kinds = DrawnKinds();
  int all = 0;
  for (const FaultKind& kind : kinds) {
    all += kind.weight;
  }
  int drawn = std::uniform_int_distribution<int>(0, all - 1)(fault_random_);
  for (const FaultKind& kind : kinds) {
    drawn -= kind.weight;
    if (drawn < 0) {
      const auto ms = std::llround(Milliseconds(loop_.Now() - TimePoint{}));
      report_.faults.push_back(std::to_string(ms) +
                               " ms: " + std::string(kind.name));
      (this->*kind.begin)();
      break;
    }
  }
  ScheduleFault();
}

void SoakRun::ClearFaults() {
  loop_.Cancel(fault_timer_);
  store_.SetAnswering(true);
  for (const auto& daemon : daemons_) {
    daemon->store_link().SetMode(FaultProxy::Mode::kPass);
  }
  for (const auto& server : servers_) {
    server->RestoreLink();
    server->SetFaults({});
  }
}

void SoakRun::CheckRecovery() {
  const TimePoint limit = loop_.Now() + kRecoveryLimit;
  for (const auto& daemon : daemons_) {
    if (!RequestUntilServed(*daemon, limit)) {
      checker_.AddViolation(
          "daemon " + std::to_string(daemon->index()) +
          " does not serve the newest route after all faults were cleared");
    }
  }
}

bool SoakRun::RequestUntilServed(SoakDaemon& daemon, TimePoint limit) {
  // Shared, since responses may still arrive after this function returns.
  const auto served = std::make_shared<bool>(false);
  while (!*served && loop_.Now() < limit) {
    if (daemon.serves()) {
      callers_.SendOnce(daemon,
                        [served](bool good) { *served = *served || good; });
    }
    RunLoopFor(kPollPeriod);
  }
  return *served;
}

SoakServer& SoakRun::DrawServer() {
  std::uniform_int_distribution<std::size_t> which(0, servers_.size() - 1);
  return *servers_[which(fault_random_)];
}

SoakDaemon& SoakRun::DrawDaemon() {
  std::uniform_int_distribution<std::size_t> which(0, daemons_.size() - 1);
  return *daemons_[which(fault_random_)];
}

Duration SoakRun::DrawTime(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(fault_random_));
}

bool SoakRun::Draw(double share) {
  return std::bernoulli_distribution(share)(fault_random_);
}

FaultProxy::Mode SoakRun::DrawImpairment() {
  constexpr FaultProxy::Mode kModes[] = {
      FaultProxy::Mode::kDelayed, FaultProxy::Mode::kSilent,
      FaultProxy::Mode::kOneWayCut, FaultProxy::Mode::kRefusing};
  return kModes[std::uniform_int_distribution<std::size_t>(0,
                                                           3)(fault_random_)];
}

void SoakRun::KillDaemon() {
  DrawDaemon().Kill();
}

void SoakRun::KillMostDaemons() {
  for (const auto& daemon : daemons_) {
    if (Draw(0.8)) {
      daemon->Kill();
    }
  }
}

void SoakRun::StopDaemon() {
  DrawDaemon().Stop();
}

void SoakRun::PauseDaemon() {
  DrawDaemon().Pause(DrawTime(100, 2500));
}

void SoakRun::ReloadDaemonSettings() {
  DrawDaemon().ReloadSettings();
}

void SoakRun::CrashServer() {
  SoakServer& server = DrawServer();
  const bool same_id = Draw(0.3);
  const Duration down = DrawTime(300, 2500);
  if (!server.up()) {
    return;
  }
  server.Crash();
  loop_.After(down, [&server, same_id] {
    if (!server.up()) {
      server.Start(same_id);
    }
  });
}

void SoakRun::ReplaceServer() {
  SoakServer& server = DrawServer();
  const Duration away = DrawTime(3500, 5000);
  if (!server.up()) {
    return;
  }
  server.Drain();
  loop_.After(away, [&server] {
    if (!server.up()) {
      server.Start(false);
    }
  });
}

void SoakRun::SlowServer() {
  ServerFaults faults;
  faults.slower = std::uniform_real_distribution<double>(2, 8)(fault_random_);
  DrawServer().SetFaults(faults);
}

void SoakRun::LoseResponses() {
  ServerFaults faults;
  faults.lost_responses = 0.3;
  DrawServer().SetFaults(faults);
}

void SoakRun::SendStrayResponses() {
  ServerFaults faults;
  faults.stray_responses = 0.3;
  DrawServer().SetFaults(faults);
}

void SoakRun::BreakStreams() {
  ServerFaults faults;
  faults.broken_streams = 0.1;
  DrawServer().SetFaults(faults);
}

void SoakRun::ImpairServerLink() {
  const FaultProxy::Mode mode = DrawImpairment();
  SoakServer& server = DrawServer();
  server.ImpairLink(mode, DrawTime(20, 300));
  loop_.After(DrawTime(200, 2500), [&server] { server.RestoreLink(); });
}

void SoakRun::SilenceServerLinks() {
  DrawServer().SilenceOpenLinks();
}

void SoakRun::ImpairStoreLink() {
  const FaultProxy::Mode mode = DrawImpairment();
  FaultProxy& link = DrawDaemon().store_link();
  link.SetMode(mode, DrawTime(50, 800));
  loop_.After(DrawTime(300, 4000),
              [&link] { link.SetMode(FaultProxy::Mode::kPass); });
}

void SoakRun::SilenceStoreLinks() {
  for (const auto& daemon : daemons_) {
    daemon->store_link().SilenceOpenConnections();
  }
}

void SoakRun::TakeStoreDown() {
  store_.SetAnswering(false);
  loop_.After(DrawTime(300, 3000), [this] { store_.SetAnswering(true); });
}

void SoakRun::ChangeDeployment() {
  const auto changes = std::uniform_int_distribution<int>(1, 4)(fault_random_);
  for (int i = 0; i < changes; ++i) {
    ++operator_.version;
    StoreDeployment();
  }
}

void SoakRun::JoinVersion() {
  const auto replaced =
      std::uniform_int_distribution<std::size_t>(1, 4)(fault_random_);
  const Duration overlap = DrawTime(100, 800);
  std::vector<SoakServer*> old;
  std::vector<SoakServer*> spare;
  for (SoakServer* server : model_servers_) {
    (server->up() ? old : spare).push_back(server);
  }
  const std::string version = "v" + std::to_string(++software_version_);
  const std::size_t count = std::min({replaced, old.size(), spare.size()});
  for (std::size_t i = 0; i < count; ++i) {
    spare[i]->StartVersion(version);
    loop_.After(overlap, [server = old[i]] { server->Drain(); });
  }
}

void SoakRun::KillPeers(const SoakDaemon& left) {
  for (const auto& daemon : daemons_) {
    if (daemon.get() != &left) {
      daemon->Kill();
    }
  }
}

void SoakRun::PauseDaemonAsVersionJoins() {
  SoakDaemon& daemon = DrawDaemon();
  const Duration pause = DrawTime(200, 1500);
  const Duration kill_lead = DrawTime(0, 150);
  daemon.Pause(pause);
  JoinVersion();
  loop_.After(pause - kill_lead, [this, &daemon] { KillPeers(daemon); });
}

void SoakRun::CutStoreAsVersionJoins() {
  SoakDaemon& daemon = DrawDaemon();
  const Duration cut = DrawTime(1500, 3500);
  const Duration kill_delay = DrawTime(500, 1500);
  FaultProxy& link = daemon.store_link();
  link.SetMode(Draw(0.5) ? FaultProxy::Mode::kSilent
                         : FaultProxy::Mode::kRefusing);
  JoinVersion();
  loop_.After(kill_delay, [this, &daemon] { KillPeers(daemon); });
  loop_.After(cut, [&link] { link.SetMode(FaultProxy::Mode::kPass); });
}

}  // namespace gentianroute::soak
