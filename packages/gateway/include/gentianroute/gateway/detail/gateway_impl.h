#ifndef GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_
#define GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/detail/reader_delay.h"
#include "gentianroute/gateway/detail/row_messages.h"
#include "gentianroute/gateway/gateway.h"
#include "gentianroute/gateway/ranked_senders.h"
#include "gentianroute/gateway/reach_monitor.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/gateway/request_recorder.h"
#include "gentianroute/gateway/result_releaser.h"
#include "gentianroute/gateway/retry_budgets.h"
#include "gentianroute/gateway/server_notices.h"
#include "gentianroute/gateway/stage_router.h"
#include "gentianroute/gateway/stage_scheduler.h"
#include "gentianroute/gateway/start_queue.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/gateway/stream_registry.h"
#include "gentianroute/gateway/version_recorder.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/loop/scoped_callbacks.h"
#include "gentianroute/observe/log.h"
#include "gentianroute/observe/metric_writer.h"
#include "gentianroute/routing/shutdown_progress.h"

namespace gentianroute::gateway {
namespace detail {

inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;
inline constexpr int kUnavailable = 503;

/// The load balancer checks readiness once a second and removes a daemon after
/// two failed checks. Until then it still sends new connections.
inline constexpr Duration kBalancerDetectionTime =
    std::chrono::milliseconds(2600);
/// Part of the drain grace that is left unused, so that the daemon ends before
/// it is killed.
inline constexpr Duration kDrainMargin = std::chrono::milliseconds(400);
/// Time for the responses to aborted requests to leave the host.
inline constexpr Duration kResponseFlushTime = std::chrono::milliseconds(50);
inline constexpr Duration kShutdownCheckPeriod = std::chrono::milliseconds(50);
inline constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(250);
/// Memory that is shared out among requests.
inline std::size_t MemoryOf(const GatewaySettings& settings) {
  constexpr std::size_t kIfUnlimited = 256'000'000;
  return settings.memory_bytes > 0 ? settings.memory_bytes : kIfUnlimited;
}
/// After this time a daemon reads the store's tables even if it has not learnt
/// its neighbours.
inline constexpr Duration kMaxStartWait = std::chrono::seconds(3);
/// Time for which a change of a version record is left to others: those of the
/// data centres that rank higher, which see it at about the same time, and
/// those of the own one, all of which would write when all start together.
inline Duration RecordWriteDelay(std::size_t data_centre_rank,
                                 std::size_t reader_rank) {
  constexpr Duration kDataCentreStep = std::chrono::milliseconds(200);
  constexpr Duration kReaderStep = std::chrono::milliseconds(50);
  return kDataCentreStep * static_cast<std::int64_t>(data_centre_rank) +
         kReaderStep * static_cast<std::int64_t>(reader_rank);
}

}  // namespace detail

/// @brief The components of one daemon, and the events passed between them.
class Gateway::Impl final : public ClusterHandler {
 public:
  Impl(EventLoop& loop,
       GatewaySettings settings,
       RelayClient& client,
       const Translator& translator,
       Store& store)
      : loop_(loop),
        callbacks_(loop),
        settings_(std::move(settings)),
        memory_(detail::MemoryOf(settings_)),
        translator_(translator),
        topology_(settings_.data_centre, settings_.regions),
        notices_(servers_, static_cast<std::uint64_t>(loop.WallTime())),
        suspects_({.confirmation_timeout = settings_.CrashConfirmationTime()}),
        suspect_parts_(
            {.confirmation_timeout = settings_.CrashConfirmationTime()}),
        deployment_(loop,
                    store,
                    StoreTable::kDeployment,
                    settings_.max_propagation_time,
                    DeploymentListener()),
        server_rows_(loop,
                     store,
                     StoreTable::kServers,
                     settings_.max_propagation_time,
                     ServersListener()),
        cluster_(loop, settings_, store, *this),
        version_recorder_(loop,
                          store,
                          settings_.max_propagation_time,
                          RecorderHooks()),
        senders_(cluster_.members()),
        placement_rules_{
            topology_,
            {},
            routing::ColdServerLimiter(settings_.cold_server_tolerance,
                                       senders_),
            routing::RequestRateLimiter(settings_.request_limit_tolerance,
                                        senders_),
            routing::BrittleServerLimiter(senders_)},
        releaser_(loop, client, translator, notices_),
        reach_(loop, client, servers_, placement_rules_.evacuations),
        stage_scheduler_(loop,
                         client,
                         translator,
                         servers_,
                         placement_rules_,
                         releaser_,
                         reach_,
                         notices_),
        stage_router_(loop, cluster_, stage_scheduler_, servers_, topology_),
        streams_(loop,
                 cluster_,
                 servers_,
                 version_recorder_.records(),
                 RegistryCopies(),
                 settings_.max_propagation_time),
        retry_budgets_(settings_.retry_ratio, settings_.retry_slack),
        start_queue_(loop.Now()),
        flow_context_{
            loop,      client,           translator,     servers_,
            topology_, placement_rules_, stage_router_,  cluster_,
            reach_,    streams_,         retry_budgets_, service_times_,
            weights_,  suspects_,        suspect_parts_, recorder_,
            notices_,  drain_,           memory_} {
    reach_.SetOnChanged([this](std::string_view service, bool cut_off) {
      OnReachChanged(service, cut_off);
    });
    if (settings_.learns_queue_drain) {
      stage_scheduler_.LearnQueueDrain();
    }
    stage_scheduler_.SetFasterPool([this](std::string_view service,
                                          std::string_view data_centre,
                                          Duration wait, Duration server_time) {
      return stage_router_.FasterPool(loop_.Now(), service, data_centre,
                                      routing::Placement(placement_rules_, {}),
                                      wait, server_time);
    });
    suspects_.SetOnQuarantined(
        [this](Fingerprint fingerprint, std::size_t crashes) {
          recorder_.OnQuarantined(fingerprint, crashes);
          cluster_.SendUpdate(Cluster::UpdateScope::kGossip);
        });
    suspect_parts_.SetOnQuarantined(
        [this](Fingerprint part, std::size_t crashes) {
          recorder_.OnPartQuarantined(part, crashes);
          cluster_.SendUpdate(Cluster::UpdateScope::kGossip);
        });
    suspects_.SetOnDropped([this](Fingerprint fingerprint, std::size_t crashes,
                                  SuspectTable::DropReason reason) {
      recorder_.OnCrashesDropped(fingerprint, crashes, reason);
    });
    servers_.SetOnClosed(
        [this](routing::Server& server) { OnServerClosed(server); });
    Listen();
    cluster_.Start();
    // Without the rows of the daemons, for example while the store refuses
    // calls, the tables are requested without regard to the rank.
    callbacks_.After(detail::kMaxStartWait,
                     [this] { StartFollowing(Duration{0}); });
    callbacks_.After(StartQueue::kMaxWait, [this] { ServeStartQueue(); });
    maintenance_timer_ =
        loop_.Every(detail::kMaintenancePeriod, [this] { RunMaintenance(); });
    LogEvent("started")
        .Field("daemon", settings_.name)
        .Field("data_centre", settings_.data_centre)
        .Field("callers", settings_.callers.ToString());
  }
  ~Impl() override {
    loop_.Cancel(maintenance_timer_);
    EndAllFlows();
  }

  void Drain(std::function<void()> done) {
    if (std::exchange(draining_, true)) {
      return;
    }
    LogEvent("drain_begun")
        .Field("connections", callers_->connections())
        .Field("active", callers_->active_requests());
    const TimePoint now = loop_.Now();
    drain_ = {now + detail::kBalancerDetectionTime,
              now + settings_.drain_grace - detail::kDrainMargin};
    cluster_.AnnounceLeaving();
    streams_.OnLeaving();
    callers_->AnnounceClose();
    callbacks_.After(detail::kBalancerDetectionTime,
                     [this] { callers_->StopAccepting(); });
    WaitForEnd(routing::ShutdownProgress(drain_), std::move(done));
  }

  // ClusterHandler: messages and requests from peers.
  void FillHeartbeat(schema::Beat::Builder heartbeat, LoadReport load) override;
  void OnHeartbeat(schema::Beat::Reader heartbeat) override;
  void OnPeerLost(std::string_view peer) override;
  void OnPeerCutOff(std::string_view peer) override {
    stage_router_.OnPeerCutOff(peer);
  }
  void RunHandedRequest(RelayExchangePtr exchange,
                        RequestProgress progress,
                        OnAnswerSource on_source) override {
    AccountForHandedBody(*exchange);
    RequestFlow::Begin(flow_context_, std::move(exchange), table_, flows_,
                       progress, std::move(on_source));
  }
  /// Refuses a handed request whose body there is no room for.
  void AccountForHandedBody(RelayExchange& exchange) {
    SharedBody& body = *exchange.shared_body();
    if (memory_.Fits(body.size(), memory_.collection_watermark())) {
      body.ChargeTo(memory_, admission::HeldKind::kPeerRequest);
    } else {
      exchange.DropBody();
    }
  }
  void OnPeerStreams(std::span<const routing::BegunStream> streams) override {
    streams_.OnPeerStreams(streams);
  }
  routing::OriginReport ReportOnStream(
      std::string_view stream,
      std::string_view service) const override {
    return streams_.ReportOn(stream, service);
  }
  std::unique_ptr<StoreConfirmation> ConfirmReportOnStream(
      std::string_view stream,
      std::string_view service,
      std::function<void(const routing::OriginReport&)> done) override {
    return streams_.ReportConfirmed(stream, service, std::move(done));
  }
  std::unique_ptr<GroupHandle> RunGroup(std::string_view service,
                                        std::string_view data_centre,
                                        routing::StageGroup group,
                                        GroupDone done) override {
    return stage_scheduler_.Run(service, data_centre, std::move(group),
                                std::move(done));
  }
  void OnReleased(std::string_view service,
                  std::string_view data_centre,
                  std::vector<std::string> results) override {
    stage_scheduler_.Release(service, data_centre, std::move(results));
  }
  void FillStoreCopy(const StoreVersions& known,
                     schema::StoreCopy::Builder copy) override;
  void OnStoreCopy(schema::StoreCopy::Reader copy) override;
  void OnNeighboursListed(std::size_t rank) override {
    StartFollowing(detail::kTableReadDelay.For(rank));
  }

 private:
  StoreFollower::Listener DeploymentListener() {
    return {
        [this](const std::vector<StoredRow>& rows) { OnOperatorRows(rows); },
        [this](const StoredRow& row, ChangeSource source) {
          OnOperatorRow(row);
          SendRowUpdate(source);
        },
        [](bool /*answers*/) {},
        [this] { cluster_.SendUpdate(Cluster::UpdateScope::kDataCentre); },
        [] {}};
  }
  StoreFollower::Listener ServersListener() {
    return {[this](const std::vector<StoredRow>& rows) { OnServerRows(rows); },
            [this](const StoredRow& row, ChangeSource source) {
              OnServerRow(row);
              SendRowUpdate(source);
            },
            [this](bool answers) {
              if (answers && server_rows_.is_complete()) {
                servers_.OnStoreRecovered(loop_.Now());
              }
            },
            [this] { cluster_.SendUpdate(Cluster::UpdateScope::kDataCentre); },
            [this] {
              LogEvent("servers_missed", LogLevel::kWarning)
                  .Field("version", server_rows_.version());
              streams_.OnServersMissed();
            }};
  }

  VersionRecorder::Hooks RecorderHooks() {
    // A reader of an earlier release leaves the records as they are.
    return {[this] {
              return cluster_.IsStoreReader() ||
                     cluster_.members().HasUnguardedNeighbour();
            },
            [this] {
              return detail::RecordWriteDelay(
                  cluster_.members().DataCentreRank(),
                  cluster_.members().StoreReaderRank());
            },
            [this] { return streams_.StreamServices(); },
            [this](std::string_view service) {
              return streams_.KnowledgeOf(service);
            },
            [this](ChangeSource source) { SendRowUpdate(source); }};
  }
  StreamRegistry::Copies RegistryCopies() {
    return {
        [this] { return HasNewestServers(); },
        [this] { return server_rows_.contact() != StoreContact::kNotAsked; },
        [this](bool with_records, StoreConfirmation::Done done) {
          return ConfirmRows(with_records, std::move(done));
        }};
  }

  void SendRowUpdate(ChangeSource source) {
    cluster_.SendUpdate(source == ChangeSource::kPeer
                            ? Cluster::UpdateScope::kForward
                            : Cluster::UpdateScope::kGossip);
  }

  void Listen() {
    RelayServer::Options callers{settings_.callers.address,
                                 settings_.callers.port,
                                 [this] { return CurrentLimits(); }, &memory_};
    callers_ = std::make_unique<RelayServer>(
        loop_, std::move(callers), [this](RelayExchangePtr exchange) {
          if (is_configured() || exchange->lacks_body() ||
              !start_queue_.TryPush(loop_.Now(), exchange)) {
            RequestFlow::Begin(flow_context_, std::move(exchange), table_,
                               flows_);
          }
        });
    readiness_ = std::make_unique<RelayServer>(
        loop_,
        RelayServer::Options{settings_.readiness.address,
                             settings_.readiness.port,
                             [] { return CallerLimits{}; }},
        [this](const RelayExchangePtr& exchange) {
          AnswerReadiness(*exchange);
        });
    metrics_ = std::make_unique<RelayServer>(
        loop_,
        RelayServer::Options{settings_.metrics.address, settings_.metrics.port,
                             [] { return CallerLimits{}; }},
        [this](const RelayExchangePtr& exchange) { AnswerMetrics(*exchange); });
  }

  CallerLimits CurrentLimits() const {
    return table_ == nullptr ? CallerLimits{} : table_->deployment().limits;
  }

  /// Whether the deployment and the host list are known, so that requests can
  /// be routed.
  bool is_configured() const {
    return table_ != nullptr && server_rows_.is_complete();
  }
  bool ready() const { return is_configured() && !draining_; }

  std::unique_ptr<StoreConfirmation> ConfirmRows(bool with_records,
                                                 StoreConfirmation::Done done) {
    std::vector<FreshnessSource*> copies = {&deployment_, &server_rows_};
    if (with_records) {
      copies.push_back(&version_recorder_);
    }
    return std::make_unique<StoreConfirmation>(copies, std::move(done));
  }

  bool HasNewestServers() const {
    return server_rows_.HasAnsweredLately(loop_.Now()) ||
           cluster_.members().HasNewestServers(loop_.Now(),
                                               server_rows_.newest_change());
  }

  /// Whether the host list would show that a server is gone.
  bool IsHostListCurrent() const {
    return server_rows_.contact() == StoreContact::kReachable ||
           cluster_.members().HearsFromStore(loop_.Now());
  }

  /// Starts the queued requests if the daemon is configured or they have waited
  /// long enough.
  void ServeStartQueue() {
    if (!is_configured() && !start_queue_.IsTimedOut(loop_.Now())) {
      return;
    }
    while (RelayExchangePtr exchange = start_queue_.Pop()) {
      RequestFlow::Begin(flow_context_, std::move(exchange), table_, flows_);
    }
  }

  void AnswerReadiness(RelayExchange& exchange) {
    if (!translator_.IsReadinessCheck(exchange.head())) {
      exchange.Respond(detail::kNotFound, {}, "");
      return;
    }
    exchange.Respond(ready() ? detail::kOk : detail::kUnavailable, {}, "");
  }

  void AnswerMetrics(RelayExchange& exchange);
  void WriteMemory(MetricWriter& writer) const;
  /// Adds the services whose servers are brittle.
  void FillBrittleServices(schema::Beat::Builder heartbeat);
  void ApplyBrittleServices(const std::string& peer,
                            schema::Beat::Reader heartbeat);
  /// Adds what this daemon observes of servers to a heartbeat.
  void FillServerReports(schema::Beat::Builder heartbeat);
  /// Adds the backlogs of the pools that this daemon schedules.
  void FillBacklogs(schema::Beat::Builder heartbeat);
  /// Adds the requests that crash servers, and the evidence.
  void FillSuspects(schema::Beat::Builder heartbeat);
  void FillSuspectParts(schema::Beat::Builder heartbeat);
  /// Adds what a heartbeat tells about servers, in place of the peer's last
  /// report.
  void ApplyPeerReport(const std::string& peer, schema::Beat::Reader heartbeat);
  void RemovePeerReport(std::string_view peer);
  /// Records the limits of requests that a peer has observed at servers.
  void ApplyPeerLimits(const std::string& peer, schema::Beat::Reader heartbeat);

  /// Applies the whole table of the operators.
  void OnOperatorRows(const std::vector<StoredRow>& rows);
  void OnOperatorRow(const StoredRow& row);
  void OnDeploymentRow(const StoredRow& row);
  void ApplyDeployment(routing::Deployment deployment);
  void BeginEvacuation(std::string_view data_centre);
  void EndEvacuation(std::string_view data_centre);

  /// Schedules ServeStartQueue() in the event loop, so that the rows being read
  /// are applied first.
  void ServeStartQueueLater() {
    callbacks_.After(Duration{0}, [this] { ServeStartQueue(); });
  }

  std::optional<routing::ServerRecord> ReadServer(const StoredRow& row) {
    std::string error;
    auto record = translator_.ReadServer(row.key, row.value, error);
    if (!record) {
      LogEvent("server_row_unreadable", LogLevel::kWarning)
          .Field("server", row.key)
          .Field("reason", error);
    }
    return record;
  }

  void OnServerRows(const std::vector<StoredRow>& rows) {
    std::vector<routing::ServerRecord> records;
    for (const StoredRow& row : rows) {
      if (auto record = ReadServer(row)) {
        records.push_back(std::move(*record));
      }
    }
    LogEvent("servers_read").Field("servers", records.size());
    const TimePoint now = loop_.Now();
    for (const routing::ServerRecord& record : records) {
      ConfirmEarlierCrashes(now, record);
    }
    servers_.Replace(now, std::move(records));
    using FleetState = routing::SoftwareVersions::FleetState;
    streams_.OnServersListed(settings_.first_start ? FleetState::kNew
                                                   : FleetState::kRunning);
    version_recorder_.UpdateSoon();
    ServeStartQueueLater();
  }

  /// An entry of a later start of a server shows that the earlier one is gone.
  void ConfirmEarlierCrashes(TimePoint now,
                             const routing::ServerRecord& record) {
    suspects_.OnIncarnation(now, record.id, record.incarnation());
    suspect_parts_.OnIncarnation(now, record.id, record.incarnation());
  }

  void OnServerRow(const StoredRow& row) {
    const TimePoint now = loop_.Now();
    auto record = row.deleted ? std::nullopt : ReadServer(row);
    LogEvent("server_seen")
        .Field("server", row.key)
        .Field("version", row.version)
        .Field("software", record ? record->software_version : "")
        .Field("state", !record           ? "gone"
                        : record->leaving ? "leaving"
                                          : "open");
    if (!record) {
      servers_.Remove(now, row.key);
      return;
    }
    ConfirmEarlierCrashes(now, *record);
    servers_.Put(now, std::move(*record));
    streams_.OnServerSeen();
    version_recorder_.UpdateSoon();
  }

  /// @param service empty: all services
  void OnReachChanged(std::string_view service, bool cut_off) {
    // The failures were those of the links, not of the servers.
    servers_.ForEach([service](routing::Server& server) {
      if (service.empty() || service == server.record().service) {
        server.history().ForgetFailures();
      }
    });
    cluster_.AnnounceReach({reach_.is_cut_off(), reach_.Unreached()});
    stage_router_.OnReachChanged();
    if (!cut_off) {
      return;
    }
    std::vector<RequestFlow::Ptr> flows;
    for (RequestFlow& flow : flows_) {
      flows.emplace_back(&flow);
    }
    for (const RequestFlow::Ptr& flow : flows) {
      flow->OnCutOff();
    }
  }

  void OnServerClosed(routing::Server& server) {
    if (!server.listed()) {
      const TimePoint now = loop_.Now();
      suspects_.OnServerDown(now, server.record().id);
      suspect_parts_.OnServerDown(now, server.record().id);
      streams_.OnServerGone(server.record());
    }
  }

  /// Callers that read slowly must not use up the memory of the process, which
  /// would end the requests of all others.
  void LimitUnsentAnswers() {
    if (settings_.memory_bytes == 0) {
      return;
    }
    const std::size_t limit = memory_.unsent_limit();
    const std::size_t closed = callers_->LimitUnsentBytes(limit);
    if (closed > 0) {
      LogEvent("slow_readers_closed", LogLevel::kWarning)
          .Field("connections", closed)
          .Field("limit_bytes", limit);
    }
  }

  void RunMaintenance() {
    const TimePoint now = loop_.Now();
    LimitUnsentAnswers();
    servers_.Expire(now);
    notices_.Sweep(now);
    if (cluster_.members().HasNewestServers(now,
                                            server_rows_.newest_change())) {
      server_rows_.OnVouchedFor(now);
    }
    const bool is_list_current = IsHostListCurrent();
    suspects_.SetConfirmable(now, is_list_current);
    suspects_.Sweep(now);
    suspect_parts_.SetConfirmable(now, is_list_current);
    suspect_parts_.Sweep(now);
    streams_.RunMaintenance();
    UpdateFollowing();
    version_recorder_.RunMaintenance();
    FetchNewerRows();
  }

  /// Reads the store's tables after a delay, unless copies of peers arrive
  /// before.
  void StartFollowing(Duration delay) {
    if (std::exchange(started_following_, true)) {
      return;
    }
    version_recorder_.Start(delay);
    deployment_.Start(delay);
    server_rows_.Start(delay);
  }

  /// Follows the store's tables only while this daemon is the one that reads
  /// the store for its data centre.
  void UpdateFollowing() {
    const bool reader = cluster_.IsStoreReader();
    deployment_.SetFollowing(reader);
    server_rows_.SetFollowing(reader);
  }

  StoreVersions KnownVersions() const {
    return {deployment_.newest_change(), server_rows_.newest_change(),
            version_recorder_.newest_change()};
  }

  /// Fetches rows from a peer that has newer ones.
  void FetchNewerRows() { cluster_.FetchStoreCopy(KnownVersions()); }

  routing::OutstandingWork Outstanding() const {
    routing::OutstandingWork work;
    work.caller_connections = callers_->connections();
    work.requests = flows_.size();
    work.peer_calls = cluster_.peer_calls();
    work.releases = releaser_.calls();
    return work;
  }

  /// Polls until the daemon may end, then calls `done`, which must end the
  /// process without reading from a socket.
  void WaitForEnd(routing::ShutdownProgress progress,
                  std::function<void()> done) {
    using Step = routing::ShutdownProgress::Step;
    const TimePoint now = loop_.Now();
    const routing::OutstandingWork work = Outstanding();
    const Step step = progress.Next(now, work);
    if (step == Step::kWait) {
      callbacks_.After(detail::kShutdownCheckPeriod,
                       [this, progress, done = std::move(done)] {
                         WaitForEnd(progress, done);
                       });
      return;
    }
    LogEvent("drain_ended")
        .Field("left", callers_->active_requests())
        .Field("connections", work.caller_connections)
        .Field("unsent_bytes", callers_->unsent_bytes())
        .Field("requests", work.requests)
        .Field("peer_calls", work.peer_calls)
        .Field("releases", work.releases);
    // Requests that still arrive are refused.
    drain_ = {now, now};
    if (step == Step::kEnd) {
      done();
      return;
    }
    EndAllFlows();
    callers_->RejectIncomplete(detail::kUnavailable);
    loop_.After(detail::kResponseFlushTime, std::move(done));
  }

  void EndAllFlows() {
    while (!flows_.empty()) {
      flows_.front().OnShutdown();
    }
  }

  EventLoop& loop_;
  ScopedCallbacks callbacks_;
  GatewaySettings settings_;
  admission::MemoryAccount memory_;  ///< outlives all that is charged to it
  const Translator& translator_;
  routing::Topology topology_;
  routing::RouteTablePtr table_;
  routing::ServerDirectory servers_;
  ServerNotices notices_;
  SuspectTable suspects_;
  SuspectParts suspect_parts_;
  RequestRecorder recorder_;
  detail::RowWriter deployment_writer_;
  detail::RowWriter server_writer_;
  detail::RowWriter record_writer_;
  StoreFollower deployment_;
  StoreFollower server_rows_;
  Cluster cluster_;
  VersionRecorder version_recorder_;
  RankedSenders senders_;
  routing::PlacementRules placement_rules_;
  ResultReleaser releaser_;
  ReachMonitor reach_;
  StageScheduler stage_scheduler_;
  StageRouter stage_router_;
  StreamRegistry streams_;
  RetryBudgets retry_budgets_;
  routing::ServiceTimeEstimates service_times_;
  routing::RequestWeights weights_;
  StartQueue start_queue_;
  routing::DrainTimes drain_;
  FlowContext flow_context_;
  RequestFlow::List flows_;
  std::unique_ptr<RelayServer> callers_;
  std::unique_ptr<RelayServer> readiness_;
  std::unique_ptr<RelayServer> metrics_;
  /// What a peer last told about servers. Refers to their incarnations, since a
  /// restarted server has none of the load.
  struct PeerReport {
    std::vector<std::pair<routing::ServerPtr, routing::ServerLoad>> loads;
    std::vector<std::pair<routing::ServerPtr, routing::PaceSample>> paces;
  };
  std::map<std::string, PeerReport, std::less<>> peer_reports_;
  /// Last reported state of each peer's contact to the store, by its name.
  std::map<std::string, StoreContact, std::less<>> store_contacts_;
  bool started_following_ = false;
  bool draining_ = false;
  TimerId maintenance_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_
