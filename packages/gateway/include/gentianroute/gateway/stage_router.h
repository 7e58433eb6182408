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

/// @brief Hands the stages of this daemon's requests to the pools, here or at
/// the daemons that schedule them.
class StageRouter {
 public:
  StageRouter(EventLoop& loop,
              Cluster& cluster,
              StageScheduler& local_scheduler,
              routing::ServerDirectory& servers,
              const routing::Topology& topology);
  ~StageRouter();

  void SetTable(routing::RouteTablePtr table) { table_ = std::move(table); }
  void OnBacklog(TimePoint now,
                 std::string_view service,
                 std::string_view data_centre,
                 routing::Backlog backlog);

  using Done = std::function<void(StageOutcome)>;
  /// @param inputs where the inputs lie
  /// @param reader_data_centre data centre of what reads the results, if known
  /// @return let go of it to drop the work; `done` is not called then
  std::unique_ptr<GroupHandle> Run(std::string_view service,
                                   routing::StageGroup group,
                                   std::vector<routing::PlacedBytes> inputs,
                                   std::string_view reader_data_centre,
                                   Done done);

  /// @brief Frees the room of results that nobody will read any more.
  void Release(std::string_view service,
               std::string_view data_centre,
               std::vector<std::string> results);

  /// @brief When all stages of a fresh plan would be done, from now.
  Duration EstimatedTime(TimePoint now, const routing::StagePlan& plan);
  /// @brief The least that the stages after this one take, without waiting.
  Duration MinTimeAfter(const routing::StagePlan& plan,
                        std::uint32_t stage) const;
  /// @brief What the stages after this one take with full calls.
  Duration TypicalTimeAfter(const routing::StagePlan& plan,
                            std::uint32_t stage) const;
  /// @brief When the pools that the plan needs will have worked off what waits
  /// now, late work too.
  Duration BacklogTime(TimePoint now, const routing::StagePlan& plan);
  /// @brief Whether every service that the plan needs has a server.
  bool HasServers(const routing::StagePlan& plan) const;

  /// @brief A daemon is gone: what it ran is handed out again.
  void OnPeerGone(std::string_view peer);

 private:
  class RoutedGroup;

  void FlushReleases();
  const routing::StageCapacity* CapacityOf(std::string_view service) const;
  std::vector<routing::PoolState> PoolsOf(TimePoint now,
                                          std::string_view service);

  EventLoop& loop_;
  Cluster& cluster_;
  StageScheduler& local_scheduler_;
  routing::ServerDirectory& servers_;
  const routing::Topology& topology_;
  routing::RouteTablePtr table_;
  routing::PoolStateTable pool_states_;
  std::vector<RoutedGroup*> groups_;
  std::map<PoolKey, std::vector<std::string>> pending_releases_;
  TimerId release_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STAGE_ROUTER_H_
