#ifndef GENTIANROUTE_GATEWAY_MEMBERSHIP_H_
#define GENTIANROUTE_GATEWAY_MEMBERSHIP_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/pool_key.h"
#include "gentianroute/gateway/store_contact.h"

namespace gentianroute::gateway {

/// @brief Which backend servers a daemon reaches over its own links.
struct Reach {
  bool cut_off = false;  ///< from all servers
  /// Services of which it reaches few servers or none, in ascending order.
  std::vector<std::string> unreached;

  bool Includes(std::string_view service) const {
    return !cut_off && std::ranges::find(unreached, service) == unreached.end();
  }
  /// Whether it includes less than an earlier one.
  bool HasShrunkSince(const Reach& before) const {
    return (cut_off && !before.cut_off) ||
           !std::ranges::includes(before.unreached, unreached);
  }
  friend bool operator==(const Reach&, const Reach&) = default;
};

/// @brief Newest changes that a daemon has of the store's tables.
struct StoreVersions {
  std::uint64_t deployment = 0;
  std::uint64_t servers = 0;
  std::uint64_t version_records = 0;

  /// Whether any is newer than another daemon's.
  bool HasNewerThan(const StoreVersions& other) const {
    return deployment > other.deployment || servers > other.servers ||
           version_records > other.version_records;
  }
};

/// @brief State of a daemon, as it reports it in each heartbeat.
struct DaemonState {
  std::string name;
  std::uint64_t incarnation = 0;  ///< differs for each start of its process
  std::string address;
  std::uint16_t port = 0;
  std::string data_centre;
  bool leaving = false;
  Reach reach;
  double processor_share = 0;  ///< CPU cores that it may use
  StoreContact store = StoreContact::kNotAsked;
  StoreVersions versions;
  /// Whether it begins streams at recorded software versions, if it can.
  bool records_versions = false;
  std::vector<PoolKey> pools;    ///< whose scheduler it is
  bool has_quarantined = false;  ///< requests or parts of prompts
  /// Daemons that it knows, including itself, alive or not.
  std::size_t known_daemons = 0;
  /// Maximum time until the next heartbeat to the receiver; 0 if the daemon
  /// sends it none regularly.
  Duration heartbeat_interval{};

  /// Whether it may get work for the servers of a service, as long as it is
  /// alive.
  bool TakesWorkFor(std::string_view service) const {
    return !leaving && reach.Includes(service);
  }
};

/// @brief A daemon as listed by the store or by a peer.
struct ListedDaemon {
  DaemonState state;
  /// Whether the peer receives its heartbeats; true if that is unknown.
  bool may_be_alive = true;
};

/// @brief Lists the daemons in the rows of a data centre.
///
/// Only daemons that schedule pools exchange heartbeats with other data
/// centres. They are among those with the largest share of a processor, so that
/// only these count as possibly alive.
std::vector<ListedDaemon> ListRows(std::span<const DaemonState> rows);

/// @brief One daemon's view of the daemons of its deployment: which of them are
/// alive, and which of them it sends heartbeats to and when. Does no I/O; the
/// current time is passed in.
///
/// Heartbeats are frequent within a data centre, whose number of daemons does
/// not grow with the fleet, and rare between data centres. In a large fleet
/// only the daemons that schedule a pool are known in other data centres. A
/// daemon that becomes a scheduler broadcasts this to all peers, and sends
/// frequent heartbeats to its standbys, the daemons that rank next for its
/// pools. The standby that takes over broadcasts in turn. A lost scheduler is
/// thus replaced equally fast at any fleet size, while the rate of datagrams
/// that a daemon sends hardly grows. Other updates spread by gossip: each
/// daemon forwards them to a few random peers.
class Membership {
 public:
  /// @brief Network distance of a peer, in ascending order.
  enum class Distance : std::uint8_t {
    kSameDataCentre,
    kSameRegion,
    kOtherRegion
  };

  struct Peer {
    DaemonState state;
    TimePoint last_heartbeat{};
    /// Of the last heartbeat; unlike last_heartbeat, it stays after this daemon
    /// stood still.
    TimePoint heard_at{};
    bool alive = false;
    Distance distance = Distance::kOtherRegion;
  };
  using Targets = std::vector<const Peer*>;

  /// @param regions region of each data centre
  /// @param seed seed of the random choice of gossip targets
  Membership(TimePoint now,
             DaemonState own,
             std::map<std::string, std::string, std::less<>> regions,
             std::uint64_t seed);

  const DaemonState& own() const { return own_; }
  /// @brief Sets the pools that this daemon schedules and whether it reports
  /// quarantines. Both determine how often it sends heartbeats.
  void UpdateOwnState(std::vector<PoolKey> pools, bool has_quarantined);
  /// @brief Sets the stage services whose pools are scheduled within each data
  /// centre.
  void SetStageServices(std::vector<std::string> services);
  /// @brief Marks this daemon as leaving: it schedules no pool from now on, and
  /// the next heartbeat rounds go to all peers.
  void Leave();
  /// @brief Sets which servers this daemon reaches. It schedules no pool of the
  /// others, unless no daemon reaches these. If it schedules pools, the next
  /// heartbeat rounds go to all peers.
  void SetReach(Reach reach);
  bool IsSelf(std::string_view daemon) const { return daemon == own_.name; }
  /// @brief Returns the peer of this name; null if it is unknown.
  const Peer* Find(std::string_view name) const;
  /// @return empty if the daemon is unknown
  std::string_view DataCentreOf(std::string_view daemon) const;

  /// @brief Adds the daemons that have a row in the store or that a peer knows.
  /// @return the peers to greet with a heartbeat: those that are not known to
  /// be alive, and either may have to send heartbeats to this daemon or get
  /// heartbeats from it. Those that have to send heartbeats reply with one.
  Targets OnListed(std::span<const ListedDaemon> daemons);
  /// @brief Returns all known daemons except this one, for a neighbour that has
  /// just started.
  std::vector<ListedDaemon> List() const;
  /// @brief Whether a peer of the own data centre knows daemons that this one
  /// does not.
  bool KnowsMore(const Peer& peer) const {
    return peer.distance == Distance::kSameDataCentre &&
           peer.state.known_daemons > known_daemons();
  }
  /// @brief Whether no daemon of one of the other data centres is alive, as far
  /// as this one knows.
  /// @complexity linear in the number of daemons after a change of those that
  /// are alive, otherwise constant
  bool LacksContact() const;
  /// @brief A random live peer of the own data centre; null if there is none.
  const Peer* RandomNeighbour();
  /// @brief Returns the other data centres of which most daemons are unknown,
  /// judged by the size of the own one.
  std::vector<std::string> UnlistedDataCentres() const;
  std::size_t known_daemons() const { return 1 + peers_.size(); }
  /// @brief Position of this daemon among those of its data centre, alive or
  /// not, in the order in which they read the store.
  std::size_t StoreReaderRank() const;

  enum class Arrival : std::uint8_t { kKnown, kNew, kRestarted };
  /// @brief Records a heartbeat of a peer. The caller replies with a heartbeat
  /// to a peer that is new or has restarted, if SendsHeartbeatsTo() it.
  Arrival OnHeartbeat(TimePoint now, DaemonState state);

  /// @brief Marks a peer as lost that refuses connections, even if its last
  /// heartbeat is recent: its process or its host has failed.
  /// @return whether the peer was considered alive
  bool OnUnreachable(std::string_view name);

  enum class LossReport : std::uint8_t { kStale, kNew, kAboutSelf };
  /// @brief Handles the report of a peer that another daemon of its data centre
  /// was lost. If the report is about this daemon, the next heartbeat rounds go
  /// to all peers, to refute it.
  LossReport OnLossReport(TimePoint now,
                          std::string_view name,
                          std::uint64_t incarnation);

  /// @brief A peer whose heartbeats have stopped.
  struct LostPeer {
    std::string name;
    Duration silence;  ///< since its last heartbeat
  };
  /// @brief Marks peers as lost whose heartbeats have stopped. If this daemon
  /// takes over a pool of one of them, the next heartbeat rounds go to all
  /// peers.
  std::vector<LostPeer> DetectLostPeers(TimePoint now);

  /// @brief Returns the peers of the own data centre that were lost recently.
  /// Heartbeats report them to daemons that have not noticed.
  Targets RecentlyLost(TimePoint now) const;

  /// @brief Whether this daemon sends heartbeats to a peer, beyond broadcast
  /// rounds.
  bool SendsHeartbeatsTo(const Peer& peer) const;
  /// @brief Whether this daemon replies at once to the first heartbeat of a
  /// peer. The next broadcast round, if there is one, is the reply to all.
  bool RepliesTo(const Peer& peer) const {
    return broadcast_rounds_ == 0 && SendsHeartbeatsTo(peer);
  }
  /// @brief Returns the time until the next heartbeat round, which also checks
  /// for lost peers.
  Duration UntilNextRound(TimePoint now) const;
  /// @brief Returns the recipients of this heartbeat round and schedules the
  /// next one.
  Targets HeartbeatTargets(TimePoint now);
  /// @brief Returns the maximum time between heartbeats to a peer; 0 if it gets
  /// none regularly and must not expect any.
  Duration HeartbeatIntervalTo(const Peer& peer) const;
  /// @brief Whether a daemon has an update from the store or from a peer.
  enum class GossipRole : std::uint8_t { kOrigin, kForwarder };
  /// @brief Returns the peers that get an update immediately: all of them in a
  /// small fleet, otherwise a random selection, different in each call.
  Targets GossipTargets(GossipRole role);
  /// @brief Returns all known peers of the own data centre, alive or not.
  Targets DataCentrePeers() const;
  /// @brief Returns all known peers, alive or not.
  Targets AllPeers() const;
  /// @brief Whether heartbeats to a peer are frequent enough for the server
  /// load in them to be useful there.
  bool SendsLoadTo(const Peer& peer) const;

  /// @brief Returns the daemon that schedules a pool. All daemons with the same
  /// view of the fleet compute the same one.
  /// @complexity linear in the number of daemons after a change of them,
  /// otherwise logarithmic
  const std::string& SchedulerOf(const PoolKey& pool) const;
  /// @brief Whether this daemon is among the `count` daemons that rank first
  /// for a key in a data centre. Daemons elsewhere are only if the data centre
  /// has none at all: whether its daemons live is unknown there in a large
  /// fleet.
  /// @param service that the daemons have to reach
  bool IsAmongFirst(std::string_view key,
                    std::string_view data_centre,
                    std::string_view service,
                    std::size_t count) const;
  /// @brief Returns one of the peers that rank first for a key in a data
  /// centre, see IsAmongFirst(); null if none of these is known to live.
  /// @param count number of peers, this daemon not counted
  /// @param chooser chooses among them: each gets an equal part of all choosers
  /// @param excluded names of peers that aren't considered
  const Peer* OneOfFirst(std::string_view key,
                         std::string_view data_centre,
                         std::string_view service,
                         std::size_t count,
                         std::string_view chooser,
                         std::span<const std::string> excluded) const;
  /// @brief Returns the peer that ranks first for a key in a data centre, see
  /// IsAmongFirst(); null if this daemon does, or if no peer there is known to
  /// live.
  /// @param excluded names of peers that aren't considered
  /// @complexity linear in the number of daemons
  const Peer* FirstSender(std::string_view key,
                          std::string_view data_centre,
                          std::string_view service,
                          std::span<const std::string> excluded) const;
  /// @brief Number of live daemons of a data centre that reach the servers of a
  /// service, including this one.
  /// @complexity linear in the number of daemons after a change of those that
  /// are alive, otherwise logarithmic
  std::size_t CountInReach(std::string_view data_centre,
                           std::string_view service) const;
  /// @brief Whether this daemon reads the store's changes for its data centre.
  /// It does unless a live daemon there that ranks higher reads them or can do
  /// so.
  bool IsStoreReader() const;
  /// @brief Returns the nearest peer that has newer rows of the store; null if
  /// there is none.
  const Peer* StoreCopySource(const StoreVersions& known) const;
  /// @brief Position of the own data centre among all, in an order that all
  /// daemons agree on.
  std::size_t DataCentreRank() const;
  /// @brief Whether a live daemon of the own data centre begins streams at
  /// software versions that are not recorded.
  bool HasUnguardedNeighbour() const;

  /// @brief Returns the nearest live peer that reaches the servers of a
  /// service, for a request that this daemon can't send to any; null if there
  /// is none. Equally near peers share the requests.
  /// @param key id of the request
  /// @param permits whether the request may go to a data centre
  /// @param excluded names of peers that have had it
  /// @complexity linear in the number of daemons
  const Peer* PeerInReach(
      std::string_view key,
      std::string_view service,
      const std::function<bool(std::string_view data_centre)>& permits,
      std::span<const std::string> excluded) const;

  /// @brief Returns the live peers that keep the origins of this daemon's
  /// streams: some of the own data centre, and one elsewhere, since a data
  /// centre may fail as a whole.
  /// @complexity linear in the number of daemons
  Targets StreamOriginKeepers() const;
  /// @brief How many peers are asked for the origin of a stream.
  enum class OriginSearch : std::uint8_t {
    kAll,     ///< all that may keep it
    kSample,  ///< enough of them to refute that there is only one version
  };
  /// @brief Returns the live peers to ask for the origin of a stream that
  /// another daemon has begun. Which one that was isn't known, so that in a
  /// large fleet all known peers may keep it.
  Targets StreamOriginSources(OriginSearch search) const;
  /// @brief Returns the live peers that may be able to ask the store: first
  /// those that have said lately that it answers them, the nearest first, then
  /// those that don't follow it.
  /// @complexity linear in the number of daemons
  Targets StoreReaders(TimePoint now) const;
  /// @brief Whether a peer has said lately that the store answers it.
  bool HearsFromStore(TimePoint now) const;
  /// @brief Whether the rows of the backend servers are as new as the store's,
  /// as far as a peer that reads the store can tell.
  /// @param servers_version newest change that this daemon has
  bool HasNewestServers(TimePoint now, std::uint64_t servers_version) const;

  /// @brief Whether the fleet is small enough to send each update to all peers.
  bool IsSmallFleet() const;
  /// @brief Returns the number of daemons that share fleet-wide budgets,
  /// including this one. Peers in other data centres count whether they are
  /// alive or not, as most of them send no heartbeats here. The share of each
  /// daemon is thus rather too small than too large.
  std::size_t live_daemons() const;

 private:
  /// Peers with the same heartbeat rate. The first three values match Distance.
  enum class RecipientClass : std::uint8_t {
    kSameDataCentre,
    kSameRegion,
    kOtherRegion,
    kStandbys
  };
  static constexpr std::size_t kRecipientClasses = 4;
  static constexpr std::string_view kStoreReaderKey = "store-reader";

  bool LacksDaemonsOf(std::string_view data_centre) const;
  Peer& FindOrAddPeer(const std::string& name);
  void SetState(Peer& peer, DaemonState state);
  Distance DistanceTo(std::string_view data_centre) const;
  /// Number of peers at a distance; an estimate from the own data centre until
  /// the daemons of the others are listed.
  std::int64_t CountAt(Distance distance) const;
  /// One live peer of each other data centre.
  Targets OneOfEachOther();
  Duration IntervalOf(RecipientClass recipients, bool idle) const;
  RecipientClass RecipientClassOf(const Peer& peer) const;
  bool IsStandby(const Peer& peer) const;
  /// Returns the highest-ranked live daemons for a pool in descending order;
  /// the first one is its scheduler.
  std::vector<std::string> TopRanked(const PoolKey& pool,
                                     std::size_t max_count) const;
  void UpdateStandbys();
  /// Whether this daemon sends heartbeats to the other data centres on behalf
  /// of its own.
  bool RepresentsDataCentre(TimePoint now) const;
  bool IsIdle() const;
  bool MarkLost(Peer& peer);
  void OnLost(TimePoint now, const Peer& peer);
  /// Drops what was computed from the daemons that are alive.
  void InvalidateRanks();
  bool TakesOverFrom(const Targets& lost) const;
  /// Whether this process was suspended, so that received datagrams may be
  /// unread.
  bool WasSuspended(TimePoint now);
  template <typename Predicate>
  Targets SelectPeers(Predicate predicate) const;
  void AddRandom(Targets& targets, Targets from, std::size_t max_count);

  DaemonState own_;
  std::map<std::string, std::string, std::less<>> regions_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<Peer>, std::less<>> peers_;
  std::array<std::int64_t, 3> peer_counts_{};  ///< indexed by Distance
  /// Other data centres, indexed by Distance.
  std::array<std::int64_t, 3> data_centre_counts_{};
  std::array<TimePoint, kRecipientClasses> next_round_at_{};
  int broadcast_rounds_ = 0;
  TimePoint started_{};
  std::vector<std::string> stage_services_;
  bool represents_data_centre_ = false;
  TimePoint last_check_{};
  TimePoint last_refutation_{};  ///< of a reported loss of this daemon
  std::set<std::string, std::less<>> standbys_;
  bool standbys_valid_ = false;
  /// Time of loss of lost peers of the own data centre.
  std::map<std::string, TimePoint, std::less<>> lost_at_;
  mutable std::map<PoolKey, std::string> schedulers_;
  mutable std::optional<bool> lacks_contact_;
  /// Results of CountInReach().
  mutable std::map<PoolKey, std::size_t> in_reach_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_MEMBERSHIP_H_
