#ifndef GENTIANROUTE_GATEWAY_MEMBERSHIP_H_
#define GENTIANROUTE_GATEWAY_MEMBERSHIP_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
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

/// @brief What a daemon tells of itself in each beat.
struct DaemonState {
  std::string name;
  std::uint64_t incarnation = 0;  ///< differs for each start of its process
  std::string address;
  std::uint16_t port = 0;
  std::string data_centre;
  bool leaving = false;
  double processor_share = 0;  ///< cores that it may use
  StoreContact store = StoreContact::kNotAsked;
  std::uint64_t deployment_version = 0;
  std::uint64_t servers_version = 0;
  std::vector<PoolKey> pools;    ///< that it schedules
  bool has_quarantined = false;  ///< knows of a request that crashes servers
  /// Within this the receiver hears it again; 0: it need not.
  Duration heartbeat_interval{};
};

/// @brief The daemons of one deployment as one of them believes them to be, and
/// whom it tells what. No I/O: the time is an argument.
///
/// Beats go often to the daemons of the own data centre, whose number does not
/// grow with the fleet, and seldom to the others: in a large fleet only daemons
/// that schedule a pool are known elsewhere. Such a daemon tells everyone when
/// it begins to, and beats fast to its heirs, who would be next; the one who
/// takes over tells everyone. So a lost scheduler is passed by soon at any
/// size, and what a daemon sends hardly grows. News goes by rumour: a few hear
/// it at once and tell a few more.
class Membership {
 public:
  /// @brief How near another daemon is; the nearest first.
  enum class Distance : std::uint8_t {
    kSameDataCentre,
    kSameRegion,
    kOtherRegion
  };

  struct Peer {
    DaemonState state;
    TimePoint last_heartbeat{};
    bool alive = false;
    Distance distance = Distance::kOtherRegion;
  };
  using Targets = std::vector<const Peer*>;

  /// @param regions region of each data centre
  /// @param seed of the choice whom a rumour reaches
  Membership(TimePoint now,
             DaemonState own,
             std::map<std::string, std::string, std::less<>> regions,
             std::uint64_t seed);

  const DaemonState& own() const { return own_; }
  /// @brief What this daemon does for others, as far as it says how often they
  /// have to hear of it.
  void UpdateOwnState(std::vector<PoolKey> pools, bool has_quarantined);
  /// @brief Services whose pool in the own data centre a daemon of it
  /// schedules.
  void SetStageServices(std::vector<std::string> services);
  /// @brief This daemon goes; it schedules no pool from now on, and the next
  /// rounds tell everyone.
  void Leave();
  bool IsSelf(std::string_view daemon) const { return daemon == own_.name; }
  /// @brief The peer of this name; null if nothing is known of it.
  const Peer* Find(std::string_view name) const;

  /// @brief Rows of the store say where daemons are.
  /// @return those that have not been heard; they should be told that this
  /// daemon lives, and those whom it has to know answer
  Targets OnRows(std::span<const DaemonState> rows);

  enum class Arrival : std::uint8_t { kKnown, kNew, kRestarted };
  /// @brief A peer's beat has come. One that is new or has restarted should be
  /// told that this daemon lives, if it IsToldOf() this daemon.
  Arrival OnHeartbeat(TimePoint now, DaemonState state);

  /// @brief A peer takes no connection, though its beats may be recent: its
  /// process has ended, or its host.
  /// @return whether it was taken for alive
  bool OnUnreachable(std::string_view name);

  enum class LossReport : std::uint8_t { kStale, kNew, kAboutSelf };
  /// @brief Another daemon has lost one of its data centre. If that is this
  /// daemon, the next rounds tell everyone that it lives.
  LossReport OnLossReport(TimePoint now,
                          std::string_view name,
                          std::uint64_t incarnation);

  /// @brief A peer that has been silent for too long.
  struct LostPeer {
    std::string name;
    Duration silence;
  };
  /// @brief Finds peers that have become silent. If this daemon schedules a
  /// pool of one of them now, the next rounds tell everyone.
  std::vector<LostPeer> DetectLostPeers(TimePoint now);

  /// @brief Peers of the own data centre that were lost a short time ago, for
  /// those who hear of it from here only.
  Targets RecentlyLost(TimePoint now) const;

  /// @brief Whether a peer gets this daemon's beats.
  bool SendsHeartbeatsTo(const Peer& peer) const;
  /// @brief Time until the next round of beats, and of watching.
  Duration UntilNextRound(TimePoint now) const;
  /// @brief Whom this round of beats goes to.
  Targets HeartbeatTargets(TimePoint now);
  /// @brief Time from one beat to this peer to the next, at most; 0 if it gets
  /// none regularly, and is not to miss them.
  Duration HeartbeatIntervalTo(const Peer& peer) const;
  /// @brief Whom news goes to at once, chosen anew each time.
  Targets GossipTargets();
  /// @brief All known peers of the own data centre.
  Targets DataCentrePeers() const;
  /// @brief All known peers.
  Targets AllPeers() const;
  /// @brief Whether beats to a peer come often enough for what they say of load
  /// to be of use there.
  bool SendsLoadTo(const Peer& peer) const;

  /// @brief The daemon that schedules a pool: the same in the eyes of all that
  /// see the same daemons.
  /// @complexity linear in daemons after a change of them, else logarithmic
  const std::string& SchedulerOf(const PoolKey& pool) const;
  /// @brief Whether this daemon is to follow the store's changes for its data
  /// centre: nobody before it, in an order that all agree on, does so or could.
  bool IsStoreReader() const;
  /// @brief The peer to ask for what is newer in the store; null if none has
  /// it.
  const Peer* StoreCopySource(std::uint64_t deployment_version,
                              std::uint64_t servers_version) const;

  /// @brief Whether there are so few daemons that each may know all at once.
  bool IsSmallFleet() const;
  /// @brief Daemons that share what all have together, this one included. Those
  /// elsewhere count whether they are heard or not, as most keep silent there;
  /// so a share is rather too small than too large.
  std::size_t live_daemons() const;

 private:
  /// Whom beats go to at one rate; the first three as in Nearness.
  enum class RecipientClass : std::uint8_t {
    kSameDataCentre,
    kSameRegion,
    kOtherRegion,
    kStandbys
  };
  static constexpr std::size_t kRecipientClasses = 4;

  Peer& FindOrAddPeer(const std::string& name);
  void SetState(Peer& peer, DaemonState state);
  Distance DistanceTo(std::string_view data_centre) const;
  Duration IntervalOf(RecipientClass recipients, bool idle) const;
  RecipientClass RecipientClassOf(const Peer& peer) const;
  bool IsStandby(const Peer& peer) const;
  /// The best of all that live for a pool, the first its scheduler.
  std::vector<std::string> TopRanked(const PoolKey& pool,
                                     std::size_t max_count) const;
  void UpdateStandbys();
  /// Whether this daemon is one that those elsewhere have to know.
  bool RepresentsDataCentre(TimePoint now) const;
  bool IsIdle() const;
  bool MarkLost(Peer& peer);
  void OnLost(TimePoint now, const Peer& peer);
  void InvalidateRanks();
  bool TakesOverFrom(const Targets& lost) const;
  /// Whether this daemon itself stood still and has not yet read what came.
  bool WasSuspended(TimePoint now);
  /// Peers for which a predicate of one holds.
  template <typename Predicate>
  Targets SelectPeers(Predicate predicate) const;
  void AddRandom(Targets& targets, Targets from, std::size_t max_count);

  DaemonState own_;
  std::map<std::string, std::string, std::less<>> regions_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<Peer>, std::less<>> peers_;
  std::array<std::int64_t, 3> peer_counts_{};  ///< of peers, by nearness
  std::array<TimePoint, kRecipientClasses> next_round_at_{};
  int broadcast_rounds_ = 0;
  TimePoint started_{};
  std::vector<std::string> stage_services_;
  bool represents_data_centre_ =
      false;  ///< for its data centre, to those elsewhere
  TimePoint last_check_{};
  TimePoint last_denial_{};  ///< its own loss
  std::set<std::string, std::less<>> standbys_;
  bool standbys_valid_ = false;
  /// Peers of the own data centre, by the time of their loss.
  std::map<std::string, TimePoint, std::less<>> lost_at_;
  mutable std::map<PoolKey, std::string> schedulers_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_MEMBERSHIP_H_
