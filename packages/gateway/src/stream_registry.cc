#include "gentianroute/gateway/stream_registry.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

using routing::OriginEvidence;

/// Time for which begun streams are collected into one message. A daemon that
/// fails within it takes its knowledge of them along.
constexpr Duration kTellDelay = std::chrono::milliseconds(20);
/// Limits the size of a message, some 60 bytes a stream.
constexpr std::size_t kMaxStreamsInMessage = 500;

}  // namespace

StreamRegistry::StreamRegistry(EventLoop& loop,
                               Cluster& cluster,
                               const routing::ServerDirectory& servers,
                               const routing::VersionRecords& records,
                               Copies copies,
                               Duration max_propagation_time)
    : loop_(loop),
      cluster_(cluster),
      servers_(servers),
      records_(records),
      copies_(std::move(copies)),
      max_propagation_time_(max_propagation_time) {}

StreamRegistry::~StreamRegistry() {
  loop_.Cancel(tell_timer_);
}

void StreamRegistry::OnBegun(const routing::BegunStream& stream) {
  origins_.Put(loop_.Now(), stream, routing::StreamOrigins::Source::kOwn);
  if (is_leaving_ || IsDue(stream.origin.service)) {
    TellLater();
  }
}

void StreamRegistry::OnPeerStreams(
    std::span<const routing::BegunStream> streams) {
  for (const routing::BegunStream& stream : streams) {
    origins_.Put(loop_.Now(), stream, routing::StreamOrigins::Source::kPeer);
  }
  if (is_leaving_) {
    TellLater();
  }
}

const routing::StreamOrigin* StreamRegistry::Find(
    std::string_view stream) const {
  return origins_.Find(loop_.Now(), stream);
}

routing::OriginReport StreamRegistry::ReportOn(std::string_view stream,
                                               std::string_view service) const {
  if (const routing::StreamOrigin* origin = Find(stream)) {
    return {OriginEvidence::kRecorded, *origin, {}};
  }
  const routing::OriginReport report = VersionReport(service);
  // With an old list, a version that began streams elsewhere may be missing.
  const bool may_miss_versions =
      report.evidence == OriginEvidence::kOneVersion &&
      !copies_.have_newest_servers();
  return may_miss_versions ? routing::OriginReport{} : report;
}

routing::OriginReport StreamRegistry::ConfirmedReportOn(
    std::string_view stream,
    std::string_view service) const {
  routing::OriginReport report = VersionReport(service);
  if (const routing::StreamOrigin* origin = Find(stream)) {
    report = {OriginEvidence::kRecorded, *origin, {}};
  }
  report.serving =
      routing::OnlyListedVersion(service, servers_.ServersOf(service));
  return report;
}

std::unique_ptr<StoreConfirmation> StreamRegistry::ReportConfirmed(
    std::string_view stream,
    std::string_view service,
    ReportDone done) {
  const bool needs_record =
      Find(stream) == nullptr && !versions_.CoversStreams(loop_.Now(), service);
  return copies_.confirm(
      needs_record,
      [this, stream = std::string(stream), service = std::string(service),
       needs_record, done = std::move(done)](bool is_confirmed) {
        if (is_confirmed && needs_record) {
          OnRecordsConfirmed(service);
        }
        done(is_confirmed ? ConfirmedReportOn(stream, service)
                          : ReportOn(stream, service));
      });
}

void StreamRegistry::OnRecordsConfirmed(std::string_view service) {
  const auto& servers = servers_.ServersOf(service);
  FindUnguardedDaemons();
  const bool is_unguarded =
      IsUnguarded() ||
      cluster_.predecessor() == DaemonRows::Predecessor::kUnknown;
  const bool is_complete = !is_unguarded && table_ != nullptr &&
                           records_.IsComplete(service, servers);
  const routing::VersionRecord* record = records_.Find(service);
  LogEvent("version_record_read")
      .Field("service", service)
      .Field("found", record != nullptr)
      .Field("unguarded", is_unguarded)
      .Field("complete", is_complete);
  if (!is_complete) {
    return;
  }
  const TimePoint now = loop_.Now();
  versions_.OnRecordRead(now, service, record->VersionsBesides(servers));
  if (record->routes_moved || record->routes != DigestOf(service)) {
    route_moves_.OnMissed(now, service);
  }
}

void StreamRegistry::FindUnguardedDaemons() {
  const bool follows_one =
      cluster_.predecessor() == DaemonRows::Predecessor::kUnguarded;
  const bool is_news = follows_one && !has_unguarded_predecessor_;
  has_unguarded_predecessor_ = follows_one;
  if (is_news || cluster_.members().HasUnguardedNeighbour()) {
    unguarded_at_ = loop_.Now();
  }
}

bool StreamRegistry::IsUnguarded() const {
  return unguarded_at_ && loop_.Now() < *unguarded_at_ + memory_;
}

std::set<std::string, std::less<>> StreamRegistry::StreamServices() const {
  return table_ == nullptr ? std::set<std::string, std::less<>>{}
                           : routing::StreamServices(*table_);
}

std::uint64_t StreamRegistry::DigestOf(std::string_view service) const {
  const auto found = route_digests_.find(service);
  if (found != route_digests_.end()) {
    return found->second;
  }
  const std::uint64_t digest = routing::DigestOfStreamRoutes(*table_, service);
  route_digests_.emplace(service, digest);
  return digest;
}

routing::StreamKnowledge StreamRegistry::KnowledgeOf(
    std::string_view service) const {
  const TimePoint now = loop_.Now();
  routing::StreamKnowledge knowledge;
  knowledge.servers = servers_.ServersOf(service);
  knowledge.gone = versions_.GoneLately(now, service);
  knowledge.covers_streams = versions_.CoversStreams(now, service);
  knowledge.routes_moved = route_moves_.Concerns(now, service);
  knowledge.routes = DigestOf(service);
  knowledge.data_centre = cluster_.members().own().data_centre;
  knowledge.is_unguarded = IsUnguarded();
  return knowledge;
}

std::unique_ptr<StreamOriginLookup> StreamRegistry::LookUp(
    std::string_view stream,
    std::string_view service,
    StreamOriginLookup::Done done) {
  return std::make_unique<StreamOriginLookup>(loop_, cluster_, *this, stream,
                                              service, std::move(done));
}

void StreamRegistry::OnDeployment(const routing::RouteTable* before,
                                  routing::RouteTablePtr after) {
  table_ = std::move(after);
  route_digests_.clear();
  memory_ = routing::StreamMemory(*table_, max_propagation_time_);
  versions_.SetMemory(memory_);
  route_moves_.SetMemory(memory_);
  if (before != nullptr) {
    route_moves_.OnDeployment(loop_.Now(), *before, *table_);
    // Streams that began before their route moved.
    TellLater();
  }
}

void StreamRegistry::OnServersListed(
    routing::SoftwareVersions::FleetState fleet) {
  versions_.OnListed(loop_.Now(), fleet);
  OnServerSeen();
}

void StreamRegistry::OnServerSeen() {
  // Streams that began before a second version appeared.
  TellLater();
}

void StreamRegistry::OnServerGone(const routing::ServerRecord& server) {
  versions_.OnGone(loop_.Now(), server);
}

void StreamRegistry::OnServersMissed() {
  versions_.OnMissed(loop_.Now());
  // From now on, this daemon does not know that there is one version only.
  TellLater();
}

void StreamRegistry::RunMaintenance() {
  origins_.Expire(loop_.Now());
  FindUnguardedDaemons();
  Tell();
  TellNewKeepers();
}

void StreamRegistry::OnLeaving() {
  is_leaving_ = true;
  origins_.OnLeaving();
  TellLater();
}

routing::OriginReport StreamRegistry::VersionReport(
    std::string_view service) const {
  const TimePoint now = loop_.Now();
  if (route_moves_.Concerns(now, service)) {
    return {OriginEvidence::kSeveralVersions, {}, {}};
  }
  return versions_.Report(now, service, servers_.ServersOf(service));
}

bool StreamRegistry::IsDue(std::string_view service) const {
  return VersionReport(service).evidence != OriginEvidence::kOneVersion;
}

void StreamRegistry::TellLater() {
  if (std::exchange(tell_pending_, true)) {
    return;
  }
  tell_timer_ = loop_.After(kTellDelay, [this] {
    tell_pending_ = false;
    Tell();
  });
}

std::function<bool(std::string_view service)> StreamRegistry::DueServices()
    const {
  return [this, due = std::map<std::string, bool, std::less<>>()](
             std::string_view service) mutable {
    auto found = due.find(service);
    if (found == due.end()) {
      found = due.emplace(service, is_leaving_ || IsDue(service)).first;
    }
    return found->second;
  };
}

void StreamRegistry::Tell() {
  const Membership::Targets keepers = cluster_.members().StreamOriginKeepers();
  if (keepers.empty()) {
    return;
  }
  const std::vector<routing::BegunStream> streams =
      origins_.TakeUntold(loop_.Now(), DueServices());
  for (const Membership::Peer* keeper : keepers) {
    TellKeeper(*keeper, streams);
  }
}

void StreamRegistry::TellNewKeepers() {
  const Membership::Targets keepers = cluster_.members().StreamOriginKeepers();
  std::map<std::string, std::uint64_t, std::less<>> told;
  for (const Membership::Peer* keeper : keepers) {
    const DaemonState& state = keeper->state;
    const auto before = told_keepers_.find(state.name);
    const bool has_them =
        before != told_keepers_.end() && before->second == state.incarnation;
    told[state.name] = state.incarnation;
    if (has_them) {
      continue;
    }
    const std::vector<routing::BegunStream> streams =
        origins_.ToShare(loop_.Now(), DueServices());
    if (!streams.empty()) {
      LogEvent("streams_given")
          .Field("keeper", state.name)
          .Field("streams", streams.size());
    }
    TellKeeper(*keeper, streams);
  }
  told_keepers_ = std::move(told);
}

void StreamRegistry::TellKeeper(const Membership::Peer& keeper,
                                std::span<const routing::BegunStream> streams) {
  while (!streams.empty()) {
    const auto part =
        streams.first(std::min(streams.size(), kMaxStreamsInMessage));
    streams = streams.subspan(part.size());
    cluster_.TellBegunStreams(keeper, part, [this, name = keeper.state.name] {
      told_keepers_.erase(name);
    });
  }
}

}  // namespace gentianroute::gateway
