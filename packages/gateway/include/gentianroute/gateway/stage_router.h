#ifndef GENTIANROUTE_GATEWAY_STAGE_ROUTER_H_
#define GENTIANROUTE_GATEWAY_STAGE_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/stage_scheduler.h"
#include "gentianroute/routing/placement.h"
#include "gentianroute/routing/pool_choice.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/stage_plan.h"

namespace gentianroute::gateway {

/// @brief How one stage of a request ended.
struct StageOutcome {
  GroupOutcome group;
  std::string data_centre;  ///< of the servers that hold the results
};

/// @brief Chooses pools for the stages of this daemon's requests, and submits
/// them to the daemons that schedule the pools, which may be this one.
class StageRouter {
 public:
  StageRouter(EventLoop& loop,
              Cluster& cluster,
              StageScheduler& local_scheduler,
              routing::ServerDirectory& servers,
              const routing::Topology& topology);
  ~StageRouter();

  void SetTable(routing::RouteTablePtr table) { table_ = std::move(table); }
  /// @brief Handles a report of a pool's backlog from its scheduler.
  void OnBacklog(TimePoint now,
                 std::string_view service,
                 std::string_view data_centre,
                 routing::Backlog backlog);

  using Done = std::function<void(StageOutcome)>;
  /// @brief Names the data centre whose pool of a service starts a group of
  /// another pool sooner, and adds the group to its estimated backlog. Empty if
  /// no pool does.
  std::string FasterPool(TimePoint now,
                         std::string_view service,
                         std::string_view data_centre,
                         const routing::Placement& placement,
                         Duration wait,
                         Duration server_time);
  /// @brief Runs one stage of a request.
  /// @param placement limits the pools and schedulers that may get the work;
  /// must outlive the returned handle
  /// @param inputs locations and sizes of the inputs
  /// @param reader_data_centre data centre of the probable reader of the
  /// results; empty if unknown
  /// @return handle that cancels the work when it is destroyed; `done` is not
  /// called then
  std::unique_ptr<GroupHandle> Run(std::string_view service,
                                   const routing::Placement& placement,
                                   routing::StageGroup group,
                                   std::vector<routing::PlacedBytes> inputs,
                                   std::string_view reader_data_centre,
                                   Done done);

  /// @brief Releases results that nobody reads any more.
  void Release(std::string_view service,
               std::string_view data_centre,
               std::vector<std::string> results);

  /// @brief Estimated time until all stages of a new plan are done.
  Duration EstimatedTime(TimePoint now,
                         const routing::StagePlan& plan,
                         const routing::Placement& placement);
  /// @brief Minimum time of the stages after this one, without queueing.
  Duration MinTimeAfter(const routing::StagePlan& plan,
                        std::uint32_t stage) const;
  /// @brief Typical time of the stages after this one, with full calls.
  Duration TypicalTimeAfter(const routing::StagePlan& plan,
                            std::uint32_t stage) const;
  /// @brief Time until the pools that the plan needs have finished their
  /// present backlogs, including groups that are late.
  Duration BacklogTime(TimePoint now,
                       const routing::StagePlan& plan,
                       const routing::Placement& placement);
  /// @brief Whether every service that the plan needs has an open server that
  /// may get the work.
  bool HasServers(const routing::StagePlan& plan,
                  const routing::Placement& placement) const;

  /// @brief Submits the groups of a lost daemon again.
  void OnPeerLost(std::string_view peer);
  /// @brief Submits the groups again that a peer has, and that it doesn't
  /// schedule any more because it has lost its links to their servers.
  void OnPeerCutOff(std::string_view peer);
  /// @brief Submits the groups again that this daemon schedules itself, if its
  /// links to their servers, lost or back, make another one their scheduler.
  void OnReachChanged();
  /// @brief Moves the groups that wait where their placement no longer permits
  /// them, after a change of the permitted regions.
  void OnPlacementChanged();

 private:
  class RoutedGroup;

  void FlushReleases();
  /// @return null if the service is not a stage service
  const routing::StageCapacity* CapacityOf(std::string_view service) const;
  /// Pools of a service that have listed servers and may get the work.
  std::vector<routing::PoolState> PoolsOf(TimePoint now,
                                          std::string_view service,
                                          const routing::Placement& placement);

  EventLoop& loop_;
  Cluster& cluster_;
  StageScheduler& local_scheduler_;
  routing::ServerDirectory& servers_;
  const routing::Topology& topology_;
  routing::RouteTablePtr table_;
  routing::PoolStateTable pool_states_;
  std::vector<RoutedGroup*> groups_;  ///< unfinished; owned by the callers
  std::map<PoolKey, std::vector<std::string>> pending_releases_;
  TimerId release_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STAGE_ROUTER_H_
