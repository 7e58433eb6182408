#ifndef GENTIANROUTE_GATEWAY_CLUSTER_H_
#define GENTIANROUTE_GATEWAY_CLUSTER_H_

#include <cluster.capnp.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/settings.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/datagram_socket.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief How a group ended that another daemon ran.
struct GroupOutcome {
  std::optional<routing::StageFailure> failure;
  std::vector<std::string> results;
};
using GroupDone = std::function<void(GroupOutcome)>;

/// @brief Work on a group that is dropped when the last holder lets go.
class GroupHold {
 public:
  virtual ~GroupHold() = default;
};

/// @brief What a daemon does with what its peers say and ask.
class ClusterHandler {
 public:
  virtual ~ClusterHandler() = default;
  /// @brief Adds what peers should know, apart from who this daemon is.
  virtual void FillBeat(schema::Beat::Builder beat) = 0;
  virtual void OnBeat(schema::Beat::Reader beat) = 0;
  /// @brief A peer is silent, or has said that it goes.
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
/// from datagrams that they send each other many times a second. So beyond an
/// outage of the store they still find each other.
class Cluster {
 public:
  Cluster(EventLoop& loop,
          const GatewaySettings& settings,
          Store& store,
          ClusterHandler& handler);
  ~Cluster();

  void Start();
  /// @brief Tells the others that this daemon goes; they hand it no more work.
  void AnnounceLeaving();

  /// @brief The daemon that schedules the servers of a service in a data
  /// centre: the same in the eyes of all that see the same daemons.
  std::string SchedulerOf(std::string_view service,
                          std::string_view data_centre) const;
  bool IsSelf(std::string_view daemon) const {
    return daemon == settings_.name;
  }
  std::size_t live_daemons() const;  ///< this one included

  /// @brief Hands a group to another daemon.
  /// @param done called once: with the outcome, or with nothing if the peer
  /// broke off and the pieces may have been made. Not called once the hold is
  /// let go.
  std::unique_ptr<GroupHold> RunGroupAt(
      std::string_view peer,
      std::string_view service,
      std::string_view data_centre,
      const routing::StageGroup& group,
      std::function<void(std::optional<GroupOutcome>)> done);

  /// @brief Tells the scheduler of a pool which results are of no more use.
  void ReleaseAt(std::string_view peer,
                 std::string_view service,
                 std::string_view data_centre,
                 std::span<const std::string> results);

  /// @brief Whether this daemon is to follow the store's changes for its data
  /// centre: nobody before it, in an order that all agree on, does so or could.
  bool IsStoreReader() const;
  /// @brief Whom news reaches at once; the others hear it with the next beat.
  enum class News : std::uint8_t { kNear, kToAll };
  /// @brief Tells peers at once what has changed here: those of the region, or
  /// all. Bytes between regions are billed, so only the rare news goes to all.
  void TellNews(News news);

  /// @brief Asks a near peer that knows something newer for its copy. One
  /// question is under way at a time.
  void FetchStoreCopy(std::uint64_t deployment_version,
                      std::uint64_t servers_version);

 private:
  class Service;
  class RemoteGroup;
  struct Peer;

  void Register();
  void ReadDaemonRows();
  void TakeDaemonRows(const std::vector<StoredRow>& rows);
  void OnDaemonRows(const std::vector<StoredRow>& rows);
  void OnDaemonRow(const StoredRow& row);
  void OnMessage(std::span<const std::byte> message);
  void SendBeats();
  void Watch(TimePoint now);
  Peer& PeerNamed(std::string_view name);
  RpcConnection* LinkTo(Peer& peer);
  Duration BeatPeriod() const;
  bool IsInOwnRegion(const Peer& peer) const;
  Duration SilenceLimit(const Peer& peer) const;
  /// The peer to ask for what is newer; null if none has it.
  Peer* SourceOf(std::uint64_t deployment_version,
                 std::uint64_t servers_version) const;

  EventLoop& loop_;
  const GatewaySettings& settings_;
  Store& store_;
  ClusterHandler& handler_;
  std::uint64_t incarnation_;
  bool leaving_ = false;
  std::uint32_t beats_ = 0;
  bool fetching_ = false;
  bool news_due_ = false;
  bool news_to_all_ = false;
  std::map<std::string, std::unique_ptr<Peer>, std::less<>> peers_;
  std::unique_ptr<DatagramSocket> datagrams_;
  std::unique_ptr<RpcServer> server_;
  std::unique_ptr<kj::TaskSet> tasks_;
  std::unique_ptr<kj::TaskSet::ErrorHandler> task_errors_;
  TimerId beat_timer_;
  TimerId row_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_CLUSTER_H_
