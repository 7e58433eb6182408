#ifndef GENTIANROUTE_GATEWAY_CLUSTER_H_
#define GENTIANROUTE_GATEWAY_CLUSTER_H_

#include <cluster.capnp.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
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
#include "gentianroute/gateway/daemon_list_fetches.h"
#include "gentianroute/gateway/daemon_rows.h"
#include "gentianroute/gateway/group_outcome.h"
#include "gentianroute/gateway/handed_request.h"
#include "gentianroute/gateway/membership.h"
#include "gentianroute/gateway/peer_calls.h"
#include "gentianroute/gateway/settings.h"
#include "gentianroute/gateway/store_confirmation.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/datagram_socket.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/loop/scoped_callbacks.h"
#include "gentianroute/routing/stage_pool.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// @brief Whether a heartbeat contains the load that its daemon puts on backend
/// servers.
enum class LoadReport : std::uint8_t { kIncluded, kOmitted };

/// @brief Receives the messages and calls of peers, and supplies the contents
/// of heartbeats and store copies.
class ClusterHandler {
 public:
  virtual ~ClusterHandler() = default;
  /// @brief Adds everything to a heartbeat except the identity of this daemon.
  virtual void FillHeartbeat(schema::Beat::Builder heartbeat,
                             LoadReport load) = 0;
  virtual void OnHeartbeat(schema::Beat::Reader heartbeat) = 0;
  /// @brief A peer was lost: its heartbeats stopped, or it refuses connections.
  virtual void OnPeerLost(std::string_view peer) = 0;
  /// @brief A peer has lost its links to servers: it schedules no pool of some
  /// services, or none at all.
  virtual void OnPeerCutOff(std::string_view peer) = 0;
  /// @brief Runs a caller's request for a peer that can't send it.
  /// @param on_source called before the answer of a server begins
  virtual void RunHandedRequest(RelayExchangePtr exchange,
                                RequestProgress progress,
                                OnAnswerSource on_source) = 0;
  /// @brief A peer has begun streams, whose origins this daemon keeps.
  virtual void OnPeerStreams(std::span<const routing::BegunStream> streams) = 0;
  /// @brief What this daemon can say about the origin of a stream.
  virtual routing::OriginReport ReportOnStream(
      std::string_view stream,
      std::string_view service) const = 0;
  /// @brief The same, after the store has confirmed it or has not answered.
  /// @param done not called from this function, nor after the returned object
  /// is destroyed
  virtual std::unique_ptr<StoreConfirmation> ConfirmReportOnStream(
      std::string_view stream,
      std::string_view service,
      std::function<void(const routing::OriginReport&)> done) = 0;
  /// @brief Runs a group for a peer; `done` is called once, unless the returned
  /// object is destroyed before.
  virtual std::unique_ptr<GroupHandle> RunGroup(std::string_view service,
                                                std::string_view data_centre,
                                                routing::StageGroup group,
                                                GroupDone done) = 0;
  /// @brief Peers no longer need these results, which are held by servers that
  /// this daemon schedules.
  virtual void OnReleased(std::string_view service,
                          std::string_view data_centre,
                          std::vector<std::string> results) = 0;
  virtual void FillStoreCopy(const StoreVersions& known,
                             schema::StoreCopy::Builder copy) = 0;
  virtual void OnStoreCopy(schema::StoreCopy::Reader copy) = 0;
  /// @brief The daemons of the own data centre are known.
  /// @param rank position of this daemon in the order in which they read the
  /// store
  virtual void OnNeighboursListed(std::size_t rank) = 0;
};

/// @brief Communication between the daemons of one deployment.
///
/// A daemon learns the addresses of the others from rows in the store, and
/// which of them are alive from the heartbeat datagrams that they send each
/// other. They thus stay in contact during an outage of the store. `Membership`
/// decides which peers are alive and which ones get heartbeats; this class
/// sends and receives.
class Cluster {
 public:
  Cluster(EventLoop& loop,
          const GatewaySettings& settings,
          Store& store,
          ClusterHandler& handler);
  ~Cluster();

  void Start();
  /// @brief Sets the services whose servers are scheduled by daemons.
  void SetStageServices(std::vector<std::string> services);
  /// @brief Tells the peers that this daemon is leaving; they send it no more
  /// work.
  void AnnounceLeaving();
  /// @brief Tells the peers which servers this daemon reaches; they send it no
  /// work for the others.
  void AnnounceReach(Reach reach);

  /// @brief Returns the daemon that schedules a pool.
  const std::string& SchedulerOf(const PoolKey& pool) const {
    return members_.SchedulerOf(pool);
  }
  bool IsSelf(std::string_view daemon) const { return members_.IsSelf(daemon); }
  /// @return empty if the daemon is unknown
  std::string_view DataCentreOf(std::string_view daemon) const {
    return members_.DataCentreOf(daemon);
  }
  const Membership& members() const { return members_; }
  std::size_t live_daemons() const { return members_.live_daemons(); }
  bool IsStoreReader() const { return members_.IsStoreReader(); }
  DaemonRows::Predecessor predecessor() const { return rows_.predecessor(); }
  /// @brief Number of groups and requests of peers that wait for an answer of
  /// this daemon.
  std::size_t peer_calls() const;

  /// @brief Sends a group to another daemon, as PeerCalls::RunGroup does.
  /// @param peer name returned by SchedulerOf
  std::unique_ptr<GroupHandle> RunGroupAt(
      std::string_view peer,
      const PoolKey& pool,
      const routing::StageGroup& group,
      std::function<void(std::optional<GroupOutcome>)> done);

  /// @brief Hands a caller's request to another daemon, as PeerCalls::HandOver
  /// does.
  std::unique_ptr<HandedRequestHandle> HandOverTo(
      const Membership::Peer& peer,
      const HandedRequest& request,
      PeerAnswerObserver& observer) {
    return calls_.HandOver(peer.state, request, observer);
  }

  /// @brief Tells a peer the origins of streams, as PeerCalls::TellBegunStreams
  /// does.
  void TellBegunStreams(const Membership::Peer& keeper,
                        std::span<const routing::BegunStream> streams,
                        std::function<void()> on_failed);
  /// @brief Asks another daemon for the origin of a stream, as
  /// PeerCalls::AskStreamOrigin does.
  std::unique_ptr<PeerQuestion> AskStreamOrigin(
      const Membership::Peer& peer,
      std::string_view stream,
      std::string_view service,
      OriginQuestion question,
      std::function<void(std::optional<routing::OriginReport>)> done) {
    return calls_.AskStreamOrigin(peer.state, stream, service, question,
                                  std::move(done));
  }

  /// @brief Tells the scheduler of a pool which results are no longer needed.
  /// @param peer name returned by SchedulerOf
  void ReleaseAt(std::string_view peer,
                 const PoolKey& pool,
                 std::span<const std::string> results);

  /// @brief Peers that get an update immediately, ordered from fewest to most.
  /// The others get it by gossip or with the next regular heartbeat. kForward
  /// is for updates that a peer has sent.
  enum class UpdateScope : std::uint8_t { kForward, kGossip, kDataCentre };
  /// @brief Sends a heartbeat with this daemon's changed state immediately.
  void SendUpdate(UpdateScope scope);

  /// @brief Asks the nearest peer that has newer rows of the store for a copy.
  /// Does nothing while an earlier call is in progress.
  void FetchStoreCopy(const StoreVersions& known);

 private:
  class Service;
  struct PeerCallCount;

  void OnRows(std::string_view data_centre,
              const std::vector<DaemonState>& daemons);
  /// Reads the rows of the data centres whose daemons no neighbour has listed.
  void ReadOtherDataCentres(Duration repeat_after);
  /// Asks a peer for the daemons that it knows.
  void FetchDaemonList(const Membership::Peer& peer);
  /// Fetches a peer's list of daemons if it contains new ones, now or when the
  /// next list may be fetched.
  void FetchListIfLonger(const Membership::Peer& peer);
  /// Fetches a neighbour's list if there is no contact to a data centre.
  void FetchListIfOutOfContact();
  void OnDaemonList(std::span<const ListedDaemon> daemons);
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
  ScopedCallbacks callbacks_;
  ClusterHandler& handler_;
  Membership members_;
  DaemonRows rows_;
  PeerCalls calls_;
  DaemonListFetches list_fetches_{members_};
  bool neighbours_listed_ = false;
  bool first_start_;
  bool update_pending_ = false;
  UpdateScope update_scope_ = UpdateScope::kForward;
  boost::intrusive_ptr<PeerCallCount> peer_calls_;
  std::unique_ptr<DatagramSocket> datagrams_;
  std::unique_ptr<RpcServer> server_;
  TimerId heartbeat_timer_;
  TimerId list_timer_;
  TimerId list_fetch_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_CLUSTER_H_
