#ifndef GENTIANROUTE_GATEWAY_CLUSTER_H_
#define GENTIANROUTE_GATEWAY_CLUSTER_H_

#include <cluster.capnp.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/daemon_rows.h"
#include "gentianroute/gateway/group_outcome.h"
#include "gentianroute/gateway/membership.h"
#include "gentianroute/gateway/peer_calls.h"
#include "gentianroute/gateway/settings.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/datagram_socket.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief Whether a beat tells what its daemon has at the backend servers.
enum class LoadReport : std::uint8_t { kIncluded, kOmitted };

/// @brief What a daemon does with what its peers say and ask.
class ClusterHandler {
 public:
  virtual ~ClusterHandler() = default;
  /// @brief Adds what peers should know, apart from who this daemon is.
  virtual void FillHeartbeat(schema::Beat::Builder heartbeat,
                             LoadReport load) = 0;
  virtual void OnHeartbeat(schema::Beat::Reader heartbeat) = 0;
  /// @brief A peer is silent, or takes no connection.
  virtual void OnPeerGone(std::string_view peer) = 0;
  /// @brief Runs a group for a peer; `done` is called once unless the hold is
  /// let go before.
  virtual std::unique_ptr<GroupHold> RunGroup(std::string_view service,
                                              std::string_view data_centre,
                                              routing::StageGroup group,
                                              GroupDone done) = 0;
  /// @brief Results of servers that this daemon schedules are of no more use.
  virtual void OnReleased(std::string_view service,
                          std::string_view data_centre,
                          std::vector<std::string> results) = 0;
  virtual void FillStoreCopy(std::uint64_t deployment_version,
                             std::uint64_t servers_version,
                             schema::StoreCopy::Builder copy) = 0;
  virtual void OnStoreCopy(schema::StoreCopy::Reader copy) = 0;
};

/// @brief The daemons of one deployment, as one of them sees the others.
///
/// Each learns where the others are from rows in the store, and that they live
/// from datagrams that they send each other. So beyond an outage of the store
/// they still find each other. `Membership` decides who is believed to live and
/// whom this daemon tells what; this class sends and receives.
class Cluster {
 public:
  Cluster(EventLoop& loop,
          const GatewaySettings& settings,
          Store& store,
          ClusterHandler& handler);
  ~Cluster();

  void Start();
  /// @brief Services whose servers daemons schedule.
  void SetStageServices(std::vector<std::string> services);
  /// @brief Tells the others that this daemon goes; they hand it no more work.
  void AnnounceLeaving();

  /// @brief The daemon that schedules a pool.
  const std::string& SchedulerOf(const PoolKey& pool) const {
    return members_.SchedulerOf(pool);
  }
  bool IsSelf(std::string_view daemon) const { return members_.IsSelf(daemon); }
  std::size_t live_daemons() const { return members_.live_daemons(); }
  bool IsStoreReader() const { return members_.IsStoreReader(); }

  /// @brief Hands a group to another daemon; as PeerCalls::RunGroup.
  /// @param peer one that SchedulerOf has named
  std::unique_ptr<GroupHold> RunGroupAt(
      std::string_view peer,
      const PoolKey& pool,
      const routing::StageGroup& group,
      std::function<void(std::optional<GroupOutcome>)> done);

  /// @brief Tells the scheduler of a pool which results are of no more use.
  /// @param peer one that SchedulerOf has named
  void ReleaseAt(std::string_view peer,
                 const PoolKey& pool,
                 std::span<const std::string> results);

  /// @brief Whom news reaches at once; the others hear it from those, or with
  /// the next beat. A later kind includes those before it.
  enum class UpdateScope : std::uint8_t { kGossip, kDataCentre };
  /// @brief Tells peers at once what has changed here.
  void SendUpdate(UpdateScope scope);

  /// @brief Asks a near peer that knows something newer for its copy. One
  /// question is under way at a time.
  void FetchStoreCopy(std::uint64_t deployment_version,
                      std::uint64_t servers_version);

 private:
  class Service;

  void OnRows(const std::vector<DaemonState>& daemons);
  void OnDatagram(std::span<const std::byte> message);
  void OnHeartbeat(schema::Beat::Reader heartbeat);
  void OnLossReport(schema::LostDaemon::Reader lost,
                    const std::string& told_by);
  void OnPeerUp(const Membership::Peer& peer);
  void RunHeartbeatRound();
  void ScheduleHeartbeatNow();
  void Send(const Membership::Targets& targets);
  kj::Array<kj::byte> EncodeHeartbeat(LoadReport load, Duration next);
  void SendUpdateNow(UpdateScope scope);
  void DetectLostPeers(TimePoint now);
  void OnUnreachable(const std::string& peer);
  void OnPeerLost(const std::string& peer);

  EventLoop& loop_;
  ClusterHandler& handler_;
  Membership members_;
  DaemonRows rows_;
  PeerCalls calls_;
  bool update_pending_ = false;
  UpdateScope update_scope_ = UpdateScope::kGossip;
  std::unique_ptr<DatagramSocket> datagrams_;
  std::unique_ptr<RpcServer> server_;
  TimerId heartbeat_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_CLUSTER_H_
