#include "gentianroute/gateway/gateway.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/gateway/request_journal.h"
#include "gentianroute/gateway/result_releases.h"
#include "gentianroute/gateway/retry_ledger.h"
#include "gentianroute/gateway/stage_desk.h"
#include "gentianroute/gateway/stage_work.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/observe/log.h"
#include "gentianroute/observe/metric_writer.h"

namespace gentianroute::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// The balancer asks once a second and takes a daemon out after two misses;
/// until then it still sends new connections.
constexpr Duration kBalancerNotices = std::chrono::milliseconds(2600);
/// Kept from the grace before the process is killed.
constexpr Duration kGraceMargin = std::chrono::milliseconds(400);
/// For the last answers to leave the host.
constexpr Duration kLastWords = std::chrono::milliseconds(50);
constexpr Duration kDrainLook = std::chrono::milliseconds(50);
constexpr Duration kHousekeeping = std::chrono::milliseconds(250);
/// Below this a load is nothing, after many additions and subtractions.
constexpr double kLeastLoad = 0.5;

Duration DurationOf(float milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<float, std::milli>(milliseconds));
}

}  // namespace

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
        deployment_(loop, store, StoreTable::kDeployment, DeploymentListener()),
        server_rows_(loop, store, StoreTable::kServers, ServersListener()),
        cluster_(loop, settings_, store, *this),
        releases_(loop, client, translator),
        desk_(loop, client, translator, servers_, releases_),
        stages_(loop, cluster_, desk_, servers_, topology_),
        retries_(settings_.retry_ratio, settings_.retry_slack),
        services_{loop,    client,   translator, servers_,  topology_,
                  stages_, cluster_, retries_,   suspects_, journal_} {
    servers_.SetOnClosed(
        [this](routing::Server& server) { OnServerClosed(server); });
    Listen();
    deployment_.Start();
    server_rows_.Start();
    cluster_.Start();
    housekeeping_ = loop_.Every(kHousekeeping, [this] { KeepHouse(); });
    LogEvent("started")
        .Field("daemon", settings_.name)
        .Field("data_centre", settings_.data_centre)
        .Field("callers", settings_.callers.Text());
  }
  ~Impl() override { loop_.Cancel(housekeeping_); }

  void Drain(std::function<void()> done) {
    if (std::exchange(draining_, true)) {
      return;
    }
    LogEvent("drain_begun")
        .Field("connections", callers_->connections())
        .Field("active", callers_->active());
    const TimePoint now = loop_.Now();
    cluster_.AnnounceLeaving();
    callers_->AnnounceClose();
    loop_.After(kBalancerNotices, [this] { callers_->StopAccepting(); });
    WaitForEnd(now + kBalancerNotices + kDrainLook,
               now + settings_.drain_grace - kGraceMargin, std::move(done));
  }

  // What peers say and ask.
  void FillBeat(schema::Beat::Builder beat) override;
  void OnBeat(schema::Beat::Reader beat) override;
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
              cluster_.TellNews();
            },
            [](bool /*answers*/) {}};
  }
  StoreFollower::Listener ServersListener() {
    return {[this](const std::vector<StoredRow>& rows) { OnServerRows(rows); },
            [this](const StoredRow& row) {
              OnServerRow(row);
              cluster_.TellNews();
            },
            [this](bool answers) {
              if (answers && server_rows_.known()) {
                servers_.OnStoreReturned(loop_.Now());
              }
            }};
  }

  void Listen() {
    RelayServer::Options callers{settings_.callers.address,
                                 settings_.callers.port,
                                 [this] { return LimitsInForce(); }};
    callers_ = std::make_unique<RelayServer>(
        loop_, std::move(callers), [this](RelayExchangePtr exchange) {
          RequestFlow::Begin(services_, std::move(exchange), table_, flows_);
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
    CallerLimits limits;
    if (table_ != nullptr) {
      const routing::Limits& stated = table_->deployment().limits;
      limits = {stated.head_bytes, stated.body_bytes, stated.head_timeout,
                stated.idle_timeout};
    }
    return limits;
  }

  bool ready() const {
    return table_ != nullptr && server_rows_.known() && !draining_;
  }

  void AnswerReadiness(RelayExchange& exchange) {
    if (!translator_.IsReadinessQuestion(exchange.head())) {
      exchange.Answer(kNotFound, {}, "");
      return;
    }
    exchange.Answer(ready() ? kOk : kUnavailable, {}, "");
  }

  void AnswerMetrics(RelayExchange& exchange);

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
    desk_.SetTable(table_);
    stages_.SetTable(table_);
    LogEvent("deployment_in_force")
        .Field("version", table_->version())
        .Field("routes", table_->deployment().routes.size());
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
      suspects_.OnIncarnation(now, record.id,
                              static_cast<std::uint64_t>(record.born));
    }
    servers_.Replace(now, std::move(records));
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
    suspects_.OnIncarnation(now, record->id,
                            static_cast<std::uint64_t>(record->born));
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
    const bool reader = cluster_.IsStoreReader();
    deployment_.SetFollowing(reader);
    server_rows_.SetFollowing(reader);
    CatchUp();
  }

  /// Takes from a peer what it knows and this daemon does not.
  void CatchUp() {
    if (newest_deployment_ > deployment_.newest_change() ||
        newest_servers_ > server_rows_.newest_change()) {
      cluster_.FetchStoreCopy(deployment_.newest_change(),
                              server_rows_.newest_change());
    }
  }

  void WaitForEnd(TimePoint earliest,
                  TimePoint latest,
                  std::function<void()> done) {
    const TimePoint now = loop_.Now();
    const bool idle = callers_->active() == 0;
    if ((idle && now >= earliest) || now >= latest) {
      LogEvent("drain_ended").Field("left", callers_->active());
      while (!flows_.empty()) {
        flows_.front().OnShutdown();
      }
      loop_.After(kLastWords, done);
      return;
    }
    loop_.After(kDrainLook, [this, earliest, latest, done = std::move(done)] {
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
  StoreFollower deployment_;
  StoreFollower server_rows_;
  Cluster cluster_;
  ResultReleases releases_;
  StageDesk desk_;
  StageWork stages_;
  RetryLedger retries_;
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
  std::uint64_t newest_deployment_ = 0;  ///< change that a peer has told
  std::uint64_t newest_servers_ = 0;     ///< change that a peer has told
  bool draining_ = false;
  TimerId housekeeping_;
};

void Gateway::Impl::FillBeat(schema::Beat::Builder beat) {
  beat.setDeploymentVersion(deployment_.newest_change());
  beat.setServersVersion(server_rows_.newest_change());
  beat.setStoreContact(static_cast<std::uint8_t>(
      std::max(server_rows_.contact(), deployment_.contact())));
  std::vector<const routing::Server*> busy;
  servers_.ForEach([&busy](routing::Server& server) {
    if (server.own().calls > kLeastLoad) {
      busy.push_back(&server);
    }
  });
  auto work = beat.initWork(static_cast<unsigned>(busy.size()));
  for (unsigned i = 0; i < busy.size(); ++i) {
    const routing::ServerLoad& load = busy[i]->own();
    work[i].setServer(busy[i]->record().id);
    work[i].setCalls(static_cast<float>(load.calls));
    work[i].setTokens(static_cast<float>(load.tokens));
    work[i].setUnreadTokens(static_cast<float>(load.unread_tokens));
  }
  struct PoolBacklog {
    std::string_view service;
    std::string_view data_centre;
    routing::Backlog backlog;
  };
  std::vector<PoolBacklog> backlogs;
  const TimePoint now = loop_.Now();
  desk_.ForEachPool(now,
                    [&](std::string_view service, std::string_view data_centre,
                        routing::Backlog backlog) {
                      backlogs.push_back({service, data_centre, backlog});
                      stages_.OnBacklog(now, service, data_centre, backlog);
                    });
  auto out = beat.initBacklogs(static_cast<unsigned>(backlogs.size()));
  for (unsigned i = 0; i < backlogs.size(); ++i) {
    out[i].setService(std::string(backlogs[i].service));
    out[i].setDataCentre(std::string(backlogs[i].data_centre));
    out[i].setInTimeMs(
        static_cast<float>(Milliseconds(backlogs[i].backlog.in_time)));
    out[i].setAllMs(static_cast<float>(Milliseconds(backlogs[i].backlog.all)));
  }
  const auto quarantined = suspects_.Quarantined(now);
  auto list = beat.initQuarantined(static_cast<unsigned>(quarantined.size()));
  for (unsigned i = 0; i < quarantined.size(); ++i) {
    list[i].setFingerprint(quarantined[i].first.value);
    list[i].setRemainingMs(
        static_cast<std::uint32_t>(Milliseconds(quarantined[i].second)));
  }
}

void Gateway::Impl::OnBeat(schema::Beat::Reader beat) {
  const TimePoint now = loop_.Now();
  const std::string name = beat.getDaemon();
  auto& loads = peer_loads_[name];
  for (const auto& [id, load] : loads) {
    if (routing::Server* server = servers_.Find(id)) {
      server->peers() += {-load.calls, -load.tokens, -load.unread_tokens};
    }
  }
  loads.clear();
  for (const auto work : beat.getWork()) {
    const routing::ServerLoad load{work.getCalls(), work.getTokens(),
                                   work.getUnreadTokens()};
    const std::string id = work.getServer();
    if (routing::Server* server = servers_.Find(id)) {
      server->peers() += load;
      loads[id] = load;
    }
  }
  for (const auto backlog : beat.getBacklogs()) {
    const std::string service = backlog.getService();
    const std::string data_centre = backlog.getDataCentre();
    stages_.OnBacklog(
        now, service, data_centre,
        {DurationOf(backlog.getInTimeMs()), DurationOf(backlog.getAllMs())});
  }
  for (const auto entry : beat.getQuarantined()) {
    suspects_.OnPeerQuarantine(
        now, Fingerprint{entry.getFingerprint()},
        std::chrono::milliseconds(entry.getRemainingMs()));
  }
  const auto contact = static_cast<StoreContact>(beat.getStoreContact());
  const auto before = std::exchange(store_contacts_[name], contact);
  if (before == StoreContact::kSilent && contact == StoreContact::kAnswers) {
    servers_.OnStoreReturned(now);
  }
  newest_deployment_ =
      std::max(newest_deployment_, beat.getDeploymentVersion());
  newest_servers_ = std::max(newest_servers_, beat.getServersVersion());
  CatchUp();
}

void Gateway::Impl::OnPeerGone(std::string_view peer) {
  const auto found = peer_loads_.find(peer);
  if (found != peer_loads_.end()) {
    for (const auto& [id, load] : found->second) {
      if (routing::Server* server = servers_.Find(id)) {
        server->peers() += {-load.calls, -load.tokens, -load.unread_tokens};
      }
    }
    peer_loads_.erase(found);
  }
  stages_.OnPeerGone(peer);
}

void Gateway::Impl::FillStoreCopy(std::uint64_t deployment_version,
                                  std::uint64_t servers_version,
                                  schema::StoreCopy::Builder copy) {
  const auto fill = [](const std::vector<StoredRow>& rows,
                       capnp::List<schema::Row>::Builder out) {
    for (unsigned i = 0; i < rows.size(); ++i) {
      out[i].setKey(rows[i].key);
      out[i].setValue(
          kj::arrayPtr(reinterpret_cast<const kj::byte*>(rows[i].value.data()),
                       rows[i].value.size()));
      out[i].setVersion(rows[i].version);
      out[i].setDeleted(rows[i].deleted);
    }
  };
  const StoreChanges deployment = deployment_.ChangesAfter(deployment_version);
  fill(deployment.rows,
       copy.initDeployment(static_cast<unsigned>(deployment.rows.size())));
  const StoreChanges servers = server_rows_.ChangesAfter(servers_version);
  fill(servers.rows,
       copy.initServers(static_cast<unsigned>(servers.rows.size())));
  copy.setServersVersion(servers.version);
  copy.setServersWhole(servers.whole);
}

void Gateway::Impl::OnStoreCopy(schema::StoreCopy::Reader copy) {
  const auto rows_of = [](capnp::List<schema::Row>::Reader in) {
    std::vector<StoredRow> rows;
    for (const auto row : in) {
      const auto value = row.getValue();
      rows.push_back({row.getKey(),
                      std::string(reinterpret_cast<const char*>(value.begin()),
                                  value.size()),
                      row.getVersion(), row.getDeleted()});
    }
    return rows;
  };
  StoreChanges deployment;
  deployment.rows = rows_of(copy.getDeployment());
  for (const StoredRow& row : deployment.rows) {
    deployment.version = std::max(deployment.version, row.version);
  }
  if (!deployment.rows.empty()) {
    LogEvent("deployment_from_peer").Field("row_version", deployment.version);
    deployment.whole = !deployment_.known();
    deployment_.Offer(std::move(deployment));
  }
  if (copy.getServersVersion() > 0) {
    StoreChanges servers{rows_of(copy.getServers()), copy.getServersVersion(),
                         copy.getServersWhole()};
    LogEvent("servers_from_peer")
        .Field("version", servers.version)
        .Field("rows", servers.rows.size());
    server_rows_.Offer(std::move(servers));
  }
}

void Gateway::Impl::AnswerMetrics(RelayExchange& exchange) {
  MetricWriter writer;
  journal_.Write(writer);
  const auto gauge = [&writer](std::string_view name, std::string_view help,
                               double value) {
    writer.Heading(name, "gauge", help);
    writer.Sample(name, {}, value);
  };
  const TimePoint now = loop_.Now();
  gauge("gentianroute_gateway_deployment_version", "Version in force.",
        table_ == nullptr ? 0.0 : static_cast<double>(table_->version()));
  gauge("gentianroute_gateway_deployment_age_seconds",
        "Time since the store last answered for the configuration.",
        Seconds(deployment_.Age(now)));
  gauge("gentianroute_gateway_servers_age_seconds",
        "Time since the store last answered for the host list.",
        Seconds(server_rows_.Age(now)));
  gauge("gentianroute_gateway_servers", "Backend servers that are listed.",
        static_cast<double>(servers_.size()));
  gauge("gentianroute_gateway_daemons", "Daemons that are alive.",
        static_cast<double>(cluster_.live_daemons()));
  gauge("gentianroute_gateway_active_requests", "Requests under way.",
        static_cast<double>(callers_->active()));
  gauge("gentianroute_gateway_stage_calls", "Stage calls sent.",
        static_cast<double>(desk_.calls_sent()));
  gauge("gentianroute_gateway_stage_pieces", "Stage pieces sent.",
        static_cast<double>(desk_.pieces_sent()));
  exchange.Answer(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                  writer.text());
}

Gateway::Gateway(EventLoop& loop,
                 GatewaySettings settings,
                 RelayClient& client,
                 const Translator& translator,
                 Store& store)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(settings),
                                   client,
                                   translator,
                                   store)) {}
Gateway::~Gateway() = default;
void Gateway::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

}  // namespace gentianroute::gateway
