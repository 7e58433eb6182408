#ifndef GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_
#define GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/detail/row_messages.h"
#include "gentianroute/gateway/gateway.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/gateway/request_journal.h"
#include "gentianroute/gateway/result_releases.h"
#include "gentianroute/gateway/retry_ledger.h"
#include "gentianroute/gateway/stage_desk.h"
#include "gentianroute/gateway/stage_work.h"
#include "gentianroute/gateway/start_queue.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/observe/log.h"
#include "gentianroute/observe/metric_writer.h"

namespace gentianroute::gateway {
namespace detail {

inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;
inline constexpr int kUnavailable = 503;

/// The balancer asks once a second and takes a daemon out after two misses;
/// until then it still sends new connections.
inline constexpr Duration kBalancerNotices = std::chrono::milliseconds(2600);
/// Kept from the grace before the process is killed.
inline constexpr Duration kGraceMargin = std::chrono::milliseconds(400);
/// For the last answers to leave the host.
inline constexpr Duration kLastWords = std::chrono::milliseconds(50);
inline constexpr Duration kDrainLook = std::chrono::milliseconds(50);
inline constexpr Duration kHousekeeping = std::chrono::milliseconds(250);

}  // namespace detail

/// @brief What one daemon is made of, and how its parts hear of each other.
class Gateway::Impl final : public ClusterHandler {
 public:
  Impl(EventLoop& loop,
       GatewaySettings settings,
       RelayClient& client,
       const Translator& translator,
       Store& store)
      : loop_(loop),
        settings_(std::move(settings)),
        translator_(translator),
        topology_(settings_.data_centre, settings_.regions),
        deployment_(loop,
                    store,
                    StoreTable::kDeployment,
                    settings_.change_in_force,
                    DeploymentListener()),
        server_rows_(loop,
                     store,
                     StoreTable::kServers,
                     settings_.change_in_force,
                     ServersListener()),
        cluster_(loop, settings_, store, *this),
        releases_(loop, client, translator),
        desk_(loop, client, translator, servers_, releases_),
        stages_(loop, cluster_, desk_, servers_, topology_),
        retries_(settings_.retry_ratio, settings_.retry_slack),
        starting_(loop.Now()),
        services_{loop,      client,   translator, servers_, topology_,
                  stages_,   cluster_, retries_,   paces_,   weights_,
                  suspects_, journal_, drain_} {
    servers_.SetOnClosed(
        [this](routing::Server& server) { OnServerClosed(server); });
    Listen();
    deployment_.Start();
    server_rows_.Start();
    cluster_.Start();
    loop_.After(StartQueue::kLongest, [this] { EndStart(); });
    housekeeping_ = loop_.Every(detail::kHousekeeping, [this] { KeepHouse(); });
    LogEvent("started")
        .Field("daemon", settings_.name)
        .Field("data_centre", settings_.data_centre)
        .Field("callers", settings_.callers.ToString());
  }
  ~Impl() override { loop_.Cancel(housekeeping_); }

  void Drain(std::function<void()> done) {
    if (std::exchange(draining_, true)) {
      return;
    }
    LogEvent("drain_begun")
        .Field("connections", callers_->connections())
        .Field("active", callers_->active_requests());
    const TimePoint now = loop_.Now();
    drain_ = {now + detail::kBalancerNotices,
              now + settings_.drain_grace - detail::kGraceMargin};
    cluster_.AnnounceLeaving();
    callers_->AnnounceClose();
    loop_.After(detail::kBalancerNotices,
                [this] { callers_->StopAccepting(); });
    WaitForEnd(drain_.last_expected_request + detail::kDrainLook,
               drain_.ends_at, std::move(done));
  }

  // What peers say and ask.
  void FillHeartbeat(schema::Beat::Builder heartbeat, LoadReport load) override;
  void OnHeartbeat(schema::Beat::Reader heartbeat) override;
  void OnPeerGone(std::string_view peer) override;
  std::unique_ptr<GroupHold> RunGroup(std::string_view service,
                                      std::string_view data_centre,
                                      routing::StageGroup group,
                                      GroupDone done) override {
    return desk_.Run(service, data_centre, std::move(group), std::move(done));
  }
  void OnReleased(std::string_view service,
                  std::string_view data_centre,
                  std::vector<std::string> results) override {
    desk_.Release(service, data_centre, std::move(results));
  }
  void FillStoreCopy(std::uint64_t deployment_version,
                     std::uint64_t servers_version,
                     schema::StoreCopy::Builder copy) override;
  void OnStoreCopy(schema::StoreCopy::Reader copy) override;

 private:
  StoreFollower::Listener DeploymentListener() {
    return {[this](const std::vector<StoredRow>& rows) {
              for (const StoredRow& row : rows) {
                OnDeploymentRow(row);
              }
            },
            [this](const StoredRow& row) {
              OnDeploymentRow(row);
              cluster_.SendUpdate(Cluster::UpdateScope::kGossip);
            },
            [](bool /*answers*/) {},
            [this] { cluster_.SendUpdate(Cluster::UpdateScope::kDataCentre); }};
  }
  StoreFollower::Listener ServersListener() {
    return {[this](const std::vector<StoredRow>& rows) { OnServerRows(rows); },
            [this](const StoredRow& row) {
              OnServerRow(row);
              cluster_.SendUpdate(Cluster::UpdateScope::kGossip);
            },
            [this](bool answers) {
              if (answers && server_rows_.is_loaded()) {
                servers_.OnStoreRecovered(loop_.Now());
              }
            },
            [this] { cluster_.SendUpdate(Cluster::UpdateScope::kDataCentre); }};
  }

  void Listen() {
    RelayServer::Options callers{settings_.callers.address,
                                 settings_.callers.port,
                                 [this] { return LimitsInForce(); }};
    callers_ = std::make_unique<RelayServer>(
        loop_, std::move(callers), [this](RelayExchangePtr exchange) {
          if (knows_all() || !starting_.Keep(loop_.Now(), exchange)) {
            RequestFlow::Begin(services_, std::move(exchange), table_, flows_);
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

  CallerLimits LimitsInForce() const {
    return table_ == nullptr ? CallerLimits{} : table_->deployment().limits;
  }

  /// Whether requests can be routed.
  bool knows_all() const {
    return table_ != nullptr && server_rows_.is_loaded();
  }
  bool ready() const { return knows_all() && !draining_; }

  /// Begins what has waited for the daemon to know its deployment.
  void EndStart() {
    if (!knows_all() && !starting_.IsOver(loop_.Now())) {
      return;
    }
    while (RelayExchangePtr exchange = starting_.Take()) {
      RequestFlow::Begin(services_, std::move(exchange), table_, flows_);
    }
  }

  void AnswerReadiness(RelayExchange& exchange) {
    if (!translator_.IsReadinessQuestion(exchange.head())) {
      exchange.Respond(detail::kNotFound, {}, "");
      return;
    }
    exchange.Respond(ready() ? detail::kOk : detail::kUnavailable, {}, "");
  }

  void AnswerMetrics(RelayExchange& exchange);
  /// Takes out what a peer has told of its load on the servers.
  void ForgetLoads(std::string_view peer);

  void OnDeploymentRow(const StoredRow& row) {
    std::string error;
    auto deployment = translator_.ReadDeployment(row.value, error);
    if (!deployment) {
      LogEvent("deployment_unreadable", LogLevel::kError)
          .Field("row_version", row.version)
          .Field("reason", error);
      return;
    }
    if (table_ != nullptr && deployment->version <= table_->version()) {
      return;
    }
    table_ = std::make_shared<routing::RouteTable>(std::move(*deployment));
    cluster_.SetStageServices(table_->StageServices());
    desk_.SetTable(table_);
    stages_.SetTable(table_);
    LogEvent("deployment_in_force")
        .Field("version", table_->version())
        .Field("routes", table_->deployment().routes.size());
    EndStartLater();
  }

  /// Once what is being read now has been taken in.
  void EndStartLater() {
    loop_.After(Duration{0}, [this] { EndStart(); });
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
      suspects_.OnIncarnation(
          now, record.id,
          static_cast<std::uint64_t>(record.started_at_unix_ms));
    }
    servers_.Replace(now, std::move(records));
    EndStartLater();
  }

  void OnServerRow(const StoredRow& row) {
    const TimePoint now = loop_.Now();
    auto record = row.deleted ? std::nullopt : ReadServer(row);
    LogEvent("server_seen")
        .Field("server", row.key)
        .Field("version", row.version)
        .Field("state", !record           ? "gone"
                        : record->leaving ? "leaving"
                                          : "open");
    if (!record) {
      servers_.Remove(now, row.key);
      return;
    }
    suspects_.OnIncarnation(
        now, record->id,
        static_cast<std::uint64_t>(record->started_at_unix_ms));
    servers_.Put(std::move(*record));
  }

  void OnServerClosed(routing::Server& server) {
    if (!server.listed()) {
      suspects_.OnServerDown(loop_.Now(), server.record().id);
    }
  }

  void KeepHouse() {
    const TimePoint now = loop_.Now();
    servers_.Expire(now);
    suspects_.Sweep(now);
    FollowIfReader();
    CatchUp();
  }

  void FollowIfReader() {
    const bool reader = cluster_.IsStoreReader();
    deployment_.SetFollowing(reader);
    server_rows_.SetFollowing(reader);
  }

  /// Takes from a peer what it knows and this daemon does not.
  void CatchUp() {
    cluster_.FetchStoreCopy(deployment_.newest_change(),
                            server_rows_.newest_change());
  }

  void WaitForEnd(TimePoint earliest,
                  TimePoint latest,
                  std::function<void()> done) {
    const TimePoint now = loop_.Now();
    const bool idle = callers_->active_requests() == 0;
    if ((idle && now >= earliest) || now >= latest) {
      LogEvent("drain_ended").Field("left", callers_->active_requests());
      while (!flows_.empty()) {
        flows_.front().OnShutdown();
      }
      loop_.After(detail::kLastWords, done);
      return;
    }
    loop_.After(detail::kDrainLook,
                [this, earliest, latest, done = std::move(done)] {
                  WaitForEnd(earliest, latest, done);
                });
  }

  EventLoop& loop_;
  GatewaySettings settings_;
  const Translator& translator_;
  routing::Topology topology_;
  routing::RouteTablePtr table_;
  routing::ServerDirectory servers_;
  SuspectTable suspects_;
  RequestJournal journal_;
  detail::RowWriter deployment_writer_;
  detail::RowWriter server_writer_;
  StoreFollower deployment_;
  StoreFollower server_rows_;
  Cluster cluster_;
  ResultReleases releases_;
  StageDesk desk_;
  StageWork stages_;
  RetryLedger retries_;
  routing::ServiceTimeEstimates paces_;
  routing::RequestWeights weights_;
  StartQueue starting_;
  routing::DrainTimes drain_;
  FlowServices services_;
  RequestFlow::List flows_;
  std::unique_ptr<RelayServer> callers_;
  std::unique_ptr<RelayServer> readiness_;
  std::unique_ptr<RelayServer> metrics_;
  /// What each peer has at each server.
  std::map<std::string,
           std::map<std::string, routing::ServerLoad, std::less<>>,
           std::less<>>
      peer_loads_;
  /// What peers last told of their calls to the store.
  std::map<std::string, StoreContact, std::less<>> store_contacts_;
  bool draining_ = false;
  TimerId housekeeping_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_GATEWAY_IMPL_H_
