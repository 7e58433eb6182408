#ifndef GENTIANROUTE_GATEWAY_STREAM_REGISTRY_H_
#define GENTIANROUTE_GATEWAY_STREAM_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/store_confirmation.h"
#include "gentianroute/gateway/stream_origin_lookup.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/routing/route_moves.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/software_versions.h"
#include "gentianroute/routing/stream_origin.h"
#include "gentianroute/routing/stream_origins.h"
#include "gentianroute/routing/version_record.h"

namespace gentianroute::gateway {

/// @brief Knows which servers began a stream, so that it goes on at servers of
/// the same software version wherever its caller takes it up.
///
/// Only the daemon that sent the request knows them, and it may fail together
/// with the stream. While servers of several versions serve, it therefore tells
/// a few peers, which keep this until the caller's deadline. A keeper that is
/// new or was restarted is given all open streams, and a daemon that stops
/// gives its peers all that it keeps. A daemon whose caller takes up a stream
/// that it doesn't know asks its peers.
///
/// While all servers of a service have one version, that answers the question,
/// and nobody is told. It counts only once the store has confirmed the list: a
/// daemon that is out of step believes in the version that was the only one
/// before. What was before a daemon started to watch the list, it reads in the
/// version record of the service.
class StreamRegistry {
 public:
  /// @brief How this daemon's copies of the store's tables stand.
  struct Copies {
    /// Whether the host list is up to date, as far as this daemon can tell.
    std::function<bool()> have_newest_servers;
    /// Whether this daemon follows the store itself, and not by its peers.
    std::function<bool()> follow_store;
    /// Has the host list and the deployment confirmed by the store.
    /// @param with_records whether the version records are, too
    std::function<std::unique_ptr<StoreConfirmation>(
        bool with_records,
        StoreConfirmation::Done done)>
        confirm;
  };
  using ReportDone = std::function<void(const routing::OriginReport&)>;

  /// @param max_propagation_time after which all daemons know a deployment
  StreamRegistry(EventLoop& loop,
                 Cluster& cluster,
                 const routing::ServerDirectory& servers,
                 const routing::VersionRecords& records,
                 Copies copies,
                 Duration max_propagation_time);
  ~StreamRegistry();

  /// @brief Records a stream that this daemon begins.
  void OnBegun(const routing::BegunStream& stream);
  /// @brief Records streams that a peer has begun.
  void OnPeerStreams(std::span<const routing::BegunStream> streams);
  /// @return null if this daemon doesn't know the stream
  const routing::StreamOrigin* Find(std::string_view stream) const;
  /// @brief What this daemon can say without asking others.
  routing::OriginReport ReportOn(std::string_view stream,
                                 std::string_view service) const;
  /// @brief Whether this daemon can ask the store without reading more than the
  /// newest changes.
  bool follows_store() const { return copies_.follow_store(); }
  /// @brief Reports on a stream after the store has confirmed what the report
  /// says, or has not answered.
  /// @param done not called from this function, nor after the returned object
  /// is destroyed
  std::unique_ptr<StoreConfirmation> ReportConfirmed(std::string_view stream,
                                                     std::string_view service,
                                                     ReportDone done);
  /// @brief Asks the store and the peers for the origin of a stream.
  /// @param service that would have begun it
  /// @param done see StreamOriginLookup
  std::unique_ptr<StreamOriginLookup> LookUp(std::string_view stream,
                                             std::string_view service,
                                             StreamOriginLookup::Done done);

  /// @brief Time for which a stream may be taken up after it has begun.
  Duration memory() const { return memory_; }
  /// @brief The services that have streams which may be taken up.
  std::set<std::string, std::less<>> StreamServices() const;
  /// @brief What this daemon knows for the version record of a service.
  routing::StreamKnowledge KnowledgeOf(std::string_view service) const;
  /// @brief Software versions at which a new stream may begin; empty: any.
  std::vector<std::string> VersionsForNewStreams(
      std::string_view service) const {
    return records_.VersionsForNewStreams(service, servers_.ServersOf(service));
  }

  /// @brief A newer deployment takes the place of an older one.
  /// @param before null for the first one
  void OnDeployment(const routing::RouteTable* before,
                    routing::RouteTablePtr after);
  /// @brief The whole host list has been read.
  void OnServersListed(routing::SoftwareVersions::FleetState fleet);
  /// @brief A server is new or has changed.
  void OnServerSeen();
  /// @brief A server has left the host list.
  void OnServerGone(const routing::ServerRecord& server);
  /// @brief Servers may have come and gone that this daemon has not seen.
  void OnServersMissed();
  /// @brief Drops what is too old, and tells the peers what they had to know
  /// earlier, if there were none or if others keep it now.
  void RunMaintenance();
  /// @brief This daemon will end: its peers keep all that it knows from now on.
  void OnLeaving();

 private:
  /// Longer than any, so that nothing is vouched for or forgotten until a
  /// deployment tells how long streams may last.
  static constexpr Duration kMemoryAtStart = Duration::max() / 2;

  routing::OriginReport VersionReport(std::string_view service) const;
  /// The store has just confirmed the host list.
  routing::OriginReport ConfirmedReportOn(std::string_view stream,
                                          std::string_view service) const;
  /// Looks for daemons of the own data centre that don't follow the version
  /// records.
  void FindUnguardedDaemons();
  /// Whether one of them may have begun a stream that is still wanted.
  bool IsUnguarded() const;
  std::uint64_t DigestOf(std::string_view service) const;
  /// The version records have just been confirmed after the host list.
  void OnRecordsConfirmed(std::string_view service);
  /// Whether the peers have to know the streams of a service.
  bool IsDue(std::string_view service) const;
  /// The services whose streams the peers have to know, each looked up once.
  std::function<bool(std::string_view service)> DueServices() const;
  /// Tells the peers soon, together with what else begins until then.
  void TellLater();
  void Tell();
  /// Gives the streams to those that have become their keepers, or that were
  /// restarted since they got them.
  void TellNewKeepers();
  void TellKeeper(const Membership::Peer& keeper,
                  std::span<const routing::BegunStream> streams);

  EventLoop& loop_;
  Cluster& cluster_;
  const routing::ServerDirectory& servers_;
  const routing::VersionRecords& records_;
  Copies copies_;
  Duration max_propagation_time_;
  Duration memory_ = kMemoryAtStart;
  routing::RouteTablePtr table_;
  /// Those of the present deployment that were asked for.
  mutable std::map<std::string, std::uint64_t, std::less<>> route_digests_;
  bool has_unguarded_predecessor_ = false;
  std::optional<TimePoint> unguarded_at_;
  routing::StreamOrigins origins_;
  routing::SoftwareVersions versions_{kMemoryAtStart};
  routing::RouteMoves route_moves_{kMemoryAtStart};
  /// Incarnation of each keeper that has got all streams.
  std::map<std::string, std::uint64_t, std::less<>> told_keepers_;
  bool is_leaving_ = false;
  bool tell_pending_ = false;
  TimerId tell_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STREAM_REGISTRY_H_
