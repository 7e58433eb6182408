#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "gentianroute/gateway/detail/gateway_impl.h"
#include "gentianroute/gateway/limit_recorder.h"
#include "gentianroute/schema/suspect_messages.h"

// The contents of heartbeats and store copies, and the processing of those of
// peers.

namespace gentianroute::gateway {
namespace {

/// A smaller load is a rounding error of many additions and subtractions.
constexpr double kMinReportedLoad = 0.5;
/// Servers whose pace a heartbeat reports, those with the most observations.
constexpr std::size_t kMaxReportedPaces = 16;
/// Servers whose limit a heartbeat reports, those with the newest observations.
constexpr std::size_t kMaxReportedLimits = 32;
/// Fewer observations say little, and would fill the heartbeats.
constexpr double kMinReportedEvents = 4.0;

std::vector<std::uint64_t> HashesIn(capnp::List<std::uint64_t>::Reader list) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(list.size());
  for (const std::uint64_t hash : list) {
    hashes.push_back(hash);
  }
  return hashes;
}

struct ReportedPace {
  const routing::Server* server = nullptr;
  routing::PaceSample sample;
};

void KeepMostObserved(std::vector<ReportedPace>& paces) {
  if (paces.size() <= kMaxReportedPaces) {
    return;
  }
  std::nth_element(paces.begin(), paces.begin() + kMaxReportedPaces,
                   paces.end(),
                   [](const ReportedPace& a, const ReportedPace& b) {
                     return a.sample.events > b.sample.events;
                   });
  paces.resize(kMaxReportedPaces);
}

struct ReportedLimit {
  const routing::Server* server = nullptr;
  routing::NamedValueReport report;
};

void KeepNewest(std::vector<ReportedLimit>& limits) {
  std::ranges::sort(limits, [](const ReportedLimit& a, const ReportedLimit& b) {
    return a.report.age < b.report.age;
  });
  limits.resize(std::min(limits.size(), kMaxReportedLimits));
}

void WriteLimits(std::span<const ReportedLimit> limits,
                 capnp::List<schema::ServerLimit>::Builder out) {
  for (unsigned i = 0; i < limits.size(); ++i) {
    const routing::NamedValueReport& report = limits[i].report;
    out[i].setServer(limits[i].server->record().id);
    out[i].setLimited(report.value.has_value());
    out[i].setPerSecond(report.value.value_or(0));
    out[i].setAgeMs(static_cast<std::uint32_t>(WholeMilliseconds(report.age)));
  }
}

void WriteWork(std::span<const routing::Server* const> servers,
               capnp::List<schema::ServerWork>::Builder out) {
  for (unsigned i = 0; i < servers.size(); ++i) {
    const routing::ServerLoad& own = servers[i]->own();
    out[i].setServer(servers[i]->record().id);
    out[i].setCalls(static_cast<float>(own.calls));
    out[i].setTokens(static_cast<float>(own.tokens));
    out[i].setUnreadTokens(static_cast<float>(own.pending_prefill_tokens));
  }
}

void WritePaces(std::span<const ReportedPace> paces,
                capnp::List<schema::ServerPace>::Builder out) {
  for (unsigned i = 0; i < paces.size(); ++i) {
    out[i].setServer(paces[i].server->record().id);
    out[i].setEvents(static_cast<float>(paces[i].sample.events));
    out[i].setLogSum(static_cast<float>(paces[i].sample.log_sum));
  }
}

}  // namespace

void Gateway::Impl::FillHeartbeat(schema::Beat::Builder heartbeat,
                                  LoadReport load) {
  const StoreVersions versions = KnownVersions();
  heartbeat.setDeploymentVersion(versions.deployment);
  heartbeat.setServersVersion(versions.servers);
  heartbeat.setVersionRecords(versions.version_records);
  heartbeat.setStoreContact(static_cast<std::uint8_t>(
      std::max(server_rows_.contact(), deployment_.contact())));
  if (load == LoadReport::kIncluded) {
    FillServerReports(heartbeat);
  }
  FillBacklogs(heartbeat);
  FillSuspects(heartbeat);
  FillBrittleServices(heartbeat);
}

void Gateway::Impl::FillBrittleServices(schema::Beat::Builder heartbeat) {
  std::vector<std::pair<std::string, routing::NamedValueReport>> reports;
  placement_rules_.brittle_servers.services().ForEachReport(
      loop_.Now(), [&reports](std::string_view service,
                              const routing::NamedValueReport& report) {
        reports.emplace_back(service, report);
      });
  auto out = heartbeat.initBrittle(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    const auto& [service, report] = reports[i];
    out[i].setService(service);
    out[i].setBrittle(report.value.has_value());
    out[i].setPerSecond(report.value.value_or(0));
    out[i].setAgeMs(static_cast<std::uint32_t>(WholeMilliseconds(report.age)));
  }
}

void Gateway::Impl::ApplyBrittleServices(const std::string& peer,
                                         schema::Beat::Reader heartbeat) {
  const TimePoint now = loop_.Now();
  for (const auto told : heartbeat.getBrittle()) {
    routing::NamedValueReport report;
    report.age = std::chrono::milliseconds(told.getAgeMs());
    if (told.getBrittle()) {
      report.value = told.getPerSecond();
    }
    const std::string service = told.getService();
    if (placement_rules_.brittle_servers.services().OnPeerReport(now, service,
                                                                 report)) {
      LogBrittleService(service, report.value, peer);
    }
  }
}

void Gateway::Impl::FillServerReports(schema::Beat::Builder heartbeat) {
  const TimePoint now = loop_.Now();
  std::vector<const routing::Server*> busy;
  std::vector<ReportedPace> paces;
  std::vector<ReportedLimit> limits;
  servers_.ForEach([&](routing::Server& server) {
    if (server.own().calls > kMinReportedLoad) {
      busy.push_back(&server);
    }
    const routing::PaceSample sample = server.pace().Own(now);
    if (sample.events >= kMinReportedEvents) {
      paces.push_back({&server, sample});
    }
    if (const auto report = server.request_limit().Report(now)) {
      limits.push_back({&server, *report});
    }
  });
  KeepMostObserved(paces);
  KeepNewest(limits);
  WriteWork(busy, heartbeat.initWork(static_cast<unsigned>(busy.size())));
  WritePaces(paces, heartbeat.initPaces(static_cast<unsigned>(paces.size())));
  WriteLimits(limits,
              heartbeat.initLimits(static_cast<unsigned>(limits.size())));
}

void Gateway::Impl::FillBacklogs(schema::Beat::Builder heartbeat) {
  const TimePoint now = loop_.Now();
  struct PoolBacklog {
    std::string_view service;
    std::string_view data_centre;
    routing::Backlog backlog;
  };
  std::vector<PoolBacklog> backlogs;
  stage_scheduler_.ForEachPool(
      now, [&](std::string_view service, std::string_view data_centre,
               routing::Backlog backlog) {
        backlogs.push_back({service, data_centre, backlog});
        stage_router_.OnBacklog(now, service, data_centre, backlog);
      });
  auto out = heartbeat.initBacklogs(static_cast<unsigned>(backlogs.size()));
  for (unsigned i = 0; i < backlogs.size(); ++i) {
    out[i].setService(std::string(backlogs[i].service));
    out[i].setDataCentre(std::string(backlogs[i].data_centre));
    out[i].setInTimeMs(
        static_cast<float>(Milliseconds(backlogs[i].backlog.on_time)));
    out[i].setAllMs(static_cast<float>(Milliseconds(backlogs[i].backlog.all)));
  }
}

void Gateway::Impl::FillSuspects(schema::Beat::Builder heartbeat) {
  const TimePoint now = loop_.Now();
  const auto quarantined = suspects_.Quarantined(now);
  auto out =
      heartbeat.initQuarantined(static_cast<unsigned>(quarantined.size()));
  for (unsigned i = 0; i < quarantined.size(); ++i) {
    out[i].setFingerprint(quarantined[i].first.value);
    out[i].setRemainingMs(
        static_cast<std::uint32_t>(Milliseconds(quarantined[i].second)));
  }
  const auto crashes = suspects_.CrashReports(now);
  schema::WriteCrashReports(
      crashes, heartbeat.initCrashes(static_cast<unsigned>(crashes.size())));
  const auto clearances = suspects_.ClearanceReports(now);
  schema::WriteClearanceReports(
      clearances,
      heartbeat.initClearances(static_cast<unsigned>(clearances.size())));
  FillSuspectParts(heartbeat);
}

void Gateway::Impl::FillSuspectParts(schema::Beat::Builder heartbeat) {
  const TimePoint now = loop_.Now();
  const auto crashes = suspect_parts_.CrashReports(now);
  schema::WritePartCrashes(crashes, heartbeat.initPartCrashes(
                                        static_cast<unsigned>(crashes.size())));
  const auto answers = suspect_parts_.AnswerReports(now);
  schema::WritePartReports(answers, heartbeat.initPartAnswers(
                                        static_cast<unsigned>(answers.size())));
  const auto quarantined = suspect_parts_.Quarantined(now);
  schema::WritePartReports(
      quarantined,
      heartbeat.initPartQuarantines(static_cast<unsigned>(quarantined.size())));
}

void Gateway::Impl::OnHeartbeat(schema::Beat::Reader heartbeat) {
  const TimePoint now = loop_.Now();
  const std::string name = heartbeat.getDaemon();
  ApplyPeerReport(name, heartbeat);
  ApplyPeerLimits(name, heartbeat);
  ApplyBrittleServices(name, heartbeat);
  for (const auto backlog : heartbeat.getBacklogs()) {
    const std::string service = backlog.getService();
    const std::string data_centre = backlog.getDataCentre();
    stage_router_.OnBacklog(now, service, data_centre,
                            {FromMilliseconds(backlog.getInTimeMs()),
                             FromMilliseconds(backlog.getAllMs())});
  }
  for (const auto entry : heartbeat.getQuarantined()) {
    suspects_.OnPeerQuarantine(
        now, Fingerprint{entry.getFingerprint()},
        std::chrono::milliseconds(entry.getRemainingMs()));
  }
  // Answers first, so that a crash before one of them doesn't count.
  schema::ApplyClearanceReports(now, heartbeat.getClearances(), suspects_);
  schema::ApplyCrashReports(now, heartbeat.getCrashes(), suspects_);
  schema::ApplyPartReports(now, heartbeat.getPartCrashes(),
                           heartbeat.getPartAnswers(),
                           heartbeat.getPartQuarantines(), suspect_parts_);
  const auto contact = static_cast<StoreContact>(heartbeat.getStoreContact());
  const auto before = std::exchange(store_contacts_[name], contact);
  if (before == StoreContact::kUnreachable &&
      contact == StoreContact::kReachable) {
    servers_.OnStoreRecovered(now);
  }
  if (before != contact) {
    UpdateFollowing();
  }
  FetchNewerRows();
}

void Gateway::Impl::ApplyPeerReport(const std::string& peer,
                                    schema::Beat::Reader heartbeat) {
  RemovePeerReport(peer);
  PeerReport& report = peer_reports_[peer];
  for (const auto work : heartbeat.getWork()) {
    const routing::ServerLoad load{work.getCalls(), work.getTokens(),
                                   work.getUnreadTokens()};
    if (routing::Server* server = servers_.Find(work.getServer().cStr())) {
      server->peers() += load;
      report.loads.emplace_back(server, load);
    }
  }
  for (const auto pace : heartbeat.getPaces()) {
    const routing::PaceSample sample{pace.getEvents(), pace.getLogSum()};
    if (routing::Server* server = servers_.Find(pace.getServer().cStr())) {
      server->pace().peers() += sample;
      report.paces.emplace_back(server, sample);
    }
  }
}

void Gateway::Impl::ApplyPeerLimits(const std::string& peer,
                                    schema::Beat::Reader heartbeat) {
  const TimePoint now = loop_.Now();
  for (const auto limit : heartbeat.getLimits()) {
    routing::Server* server = servers_.Find(limit.getServer().cStr());
    if (server == nullptr) {
      continue;
    }
    routing::NamedValueReport report;
    report.age = std::chrono::milliseconds(limit.getAgeMs());
    if (limit.getLimited()) {
      report.value = limit.getPerSecond();
    }
    if (server->request_limit().OnPeerReport(now, report)) {
      LogRequestLimit(*server, peer);
    }
  }
}

void Gateway::Impl::OnPeerLost(std::string_view peer) {
  RemovePeerReport(peer);
  stage_router_.OnPeerLost(peer);
}

void Gateway::Impl::RemovePeerReport(std::string_view peer) {
  const auto found = peer_reports_.find(peer);
  if (found == peer_reports_.end()) {
    return;
  }
  for (const auto& [server, load] : found->second.loads) {
    server->peers() -= load;
  }
  for (const auto& [server, sample] : found->second.paces) {
    server->pace().peers() -= sample;
  }
  peer_reports_.erase(found);
}

void Gateway::Impl::FillStoreCopy(const StoreVersions& known,
                                  schema::StoreCopy::Builder copy) {
  const StoreChanges deployment = deployment_.ChangesAfter(known.deployment);
  copy.setDeploymentVersion(deployment.version);
  copy.setDeploymentWhole(deployment.is_full);
  copy.setDeploymentPartial(deployment.is_partial);
  copy.setDeploymentListedVersion(deployment.live_keys_version);
  copy.setDeploymentListed(kj::arrayPtr(deployment.live_key_hashes.data(),
                                        deployment.live_key_hashes.size()));
  deployment_writer_.Write(
      deployment.rows,
      copy.initDeployment(static_cast<unsigned>(deployment.rows.size())));
  const StoreChanges servers = server_rows_.ChangesAfter(known.servers);
  server_writer_.Write(
      servers.rows,
      copy.initServers(static_cast<unsigned>(servers.rows.size())));
  copy.setServersVersion(servers.version);
  copy.setServersWhole(servers.is_full);
  copy.setServersPartial(servers.is_partial);
  copy.setServersListedVersion(servers.live_keys_version);
  copy.setServersListed(kj::arrayPtr(servers.live_key_hashes.data(),
                                     servers.live_key_hashes.size()));
  const std::vector<StoredRow> records =
      version_recorder_.RowsIfNewer(known.version_records);
  record_writer_.Write(
      records, copy.initVersionRecords(static_cast<unsigned>(records.size())));
}

void Gateway::Impl::OnStoreCopy(schema::StoreCopy::Reader copy) {
  if (copy.getDeploymentVersion() > 0) {
    const StoreChanges deployment{
        detail::ReadRows(copy.getDeployment()),
        copy.getDeploymentVersion(),
        copy.getDeploymentWhole(),
        copy.getDeploymentPartial(),
        HashesIn(copy.getDeploymentListed()),
        copy.getDeploymentListedVersion(),
    };
    LogEvent("deployment_from_peer")
        .Field("version", deployment.version)
        .Field("rows", deployment.rows.size());
    deployment_.MergePeerCopy(deployment);
  }
  if (copy.getServersVersion() > 0) {
    const StoreChanges servers{
        detail::ReadRows(copy.getServers()),
        copy.getServersVersion(),
        copy.getServersWhole(),
        copy.getServersPartial(),
        HashesIn(copy.getServersListed()),
        copy.getServersListedVersion(),
    };
    LogEvent("servers_from_peer")
        .Field("version", servers.version)
        .Field("rows", servers.rows.size());
    server_rows_.MergePeerCopy(servers);
  }
  version_recorder_.MergePeerCopy(detail::ReadRows(copy.getVersionRecords()));
  ServeStartQueueLater();
  // The rest of a large table, without waiting for the next heartbeat.
  callbacks_.After(Duration{0}, [this] { FetchNewerRows(); });
}

}  // namespace gentianroute::gateway
