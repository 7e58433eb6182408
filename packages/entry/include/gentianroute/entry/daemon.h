#ifndef GENTIANROUTE_ENTRY_DAEMON_H_
#define GENTIANROUTE_ENTRY_DAEMON_H_

#include <functional>
#include <memory>
#include <vector>

#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/decision/leaving_server_gossip.h"
#include "gentianroute/decision/poll_schedule.h"
#include "gentianroute/entry/backend_calls.h"
#include "gentianroute/entry/cache_sync.h"
#include "gentianroute/entry/caller_api.h"
#include "gentianroute/entry/claim_sync.h"
#include "gentianroute/entry/config_sync.h"
#include "gentianroute/entry/history_sync.h"
#include "gentianroute/entry/operator_api.h"
#include "gentianroute/entry/order_sync.h"
#include "gentianroute/entry/peer_links.h"
#include "gentianroute/entry/peer_revisions.h"
#include "gentianroute/entry/peer_service.h"
#include "gentianroute/loop/http_server.h"
#include "gentianroute/loop/relay_http_client.h"
#include "gentianroute/observe/request_metrics.h"
#include "gentianroute/observe/service_level.h"
#include "gentianroute/platform/http_platform.h"
#include "gentianroute/schema/declarations.h"
#include "gentianroute/schema/rows.h"
#include "gentianroute/schema/settings.h"

namespace gentianroute {

/// @brief Pool name of the daemons' own hosts in the platform's host list.
inline constexpr std::string_view kEntryPool = "gentianroute";

/// @brief A daemon: connects the coordinator to callers, operators, backend
/// servers, peers and the platform.
class Daemon final : private OperatorHandler {
 public:
  /// @brief Starts to listen and to poll the platform.
  /// @throws std::runtime_error if an address can't be bound
  Daemon(EventLoop& loop, const Settings& settings);
  ~Daemon() override;

  /// @brief Drains the daemon.
  /// @param done called once, when no work is left or at the drain deadline;
  /// ignored if a drain is already waiting
  void Drain(std::function<void()> done);

  /// @brief Sets the callback that ends the process after a drain that an
  /// operator requested.
  void SetStopCallback(std::function<void()> stop) {
    stop_callback_ = std::move(stop);
  }

  std::uint16_t caller_port() const { return caller_server_->port(); }
  std::uint16_t operator_port() const { return operator_server_->port(); }
  std::uint16_t peer_port() const { return peer_links_->port(); }

 private:
  // OperatorHandler.
  bool IsReady() const override;
  nlohmann::json Status() const override;
  nlohmann::json ListDocuments() const override;
  const gentianroute::Documents& CurrentDocuments() const override {
    return follower_.documents();
  }
  nlohmann::json History() const override;
  nlohmann::json Report() const override;
  std::string Metrics() const override;
  void Apply(ConfigRevision change,
             const ConfigSync::DoneCallback& done) override;
  void StartDrain() override;

  void Listen();
  void StartTimers();
  /// Runs AdvanceCoordinator(), or repeats it if it is already running. To be
  /// called after each input to the coordinator.
  void RequestAdvance();
  /// Advances the coordinator and executes its actions until none are left.
  void AdvanceCoordinator();
  void Execute(Action& action);
  void SendClaimQuery(const QueryClaimHolder& query);
  /// Sets the timer for the coordinator's next due time.
  void ScheduleWakeup();
  void PollHosts();
  void PollConfig();
  void ApplyHosts(const std::vector<HostRecord>& hosts);
  void ApplyEntryHosts(const std::vector<HostRecord>& entries);
  void OnConfigChanged();
  void BeginDrain();
  void CheckDrained();
  void EndDrain();

  EventLoop& loop_;
  const Settings& settings_;
  std::uint64_t incarnation_;
  JsonClaimCodec claim_codec_;
  JsonConfigCodec config_codec_;
  RelayHttpClient client_;
  HttpPlatform platform_;
  ServerTable servers_;
  LeavingServerGossip leaving_server_gossip_;
  CacheSync cache_sync_;
  UsageLedger usage_;
  SuspectTable suspects_;
  ClaimLedger claims_;
  ConfigFollower follower_;
  Coordinator coordinator_;
  BackendCalls backend_calls_;
  ClaimSync claim_sync_;
  ConfigSync config_sync_;
  PollSchedule poll_schedule_;
  OrderSync order_sync_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  ServiceLevels service_levels_;
  HistorySync history_sync_;
  std::vector<PeerAddress> seeds_;
  PeerRevisions peer_revisions_;
  PeerService peer_service_;
  std::unique_ptr<PeerLinks> peer_links_;
  RequestMetrics metrics_;
  std::function<void()> stop_callback_ = [] {};
  TimerId wakeup_timer_;
  bool advancing_ = false;
  bool advance_requested_ = false;
  bool draining_ = false;
  std::function<void()> on_drained_;  ///< set only while Drain() is waiting
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_DAEMON_H_
