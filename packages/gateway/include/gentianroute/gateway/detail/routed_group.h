#ifndef GENTIANROUTE_GATEWAY_DETAIL_ROUTED_GROUP_H_
#define GENTIANROUTE_GATEWAY_DETAIL_ROUTED_GROUP_H_

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "gentianroute/gateway/stage_router.h"

namespace gentianroute::gateway {

/// One submitted group: chooses a pool, submits the group to the pool's
/// scheduler, and starts again if the scheduler fails or gives the group back.
class StageRouter::RoutedGroup final : public GroupHandle {
 public:
  RoutedGroup(StageRouter& router,
              std::string_view service,
              const routing::Placement& placement,
              routing::StageGroup group,
              routing::PoolWork pool_work,
              Done done);
  ~RoutedGroup() override;

  void OnPeerLost(std::string_view peer);
  void OnPeerCutOff(std::string_view peer);
  void OnReachChanged();
  void OnPlacementChanged();

 private:
  /// Whether a daemon may get the group: the data centre of its pool may be
  /// permitted while the daemon that schedules the pool is elsewhere.
  bool MayHandOver(std::string_view daemon) const;
  /// The daemon that schedules the pool of the group now.
  const std::string& CurrentScheduler() const;
  void ResubmitLater();
  void Submit();
  /// @return null if no pool has a server
  const routing::PoolState* Choose(std::span<const routing::PoolState> pools,
                                   const routing::StageCapacity& capacity);
  void SubmitToScheduler();
  void SubmitHere();
  void OnOutcome(GroupOutcome outcome);
  /// Submits the group again after its pool gave it back.
  void Move(GroupOutcome outcome);
  void End(GroupOutcome outcome);

  StageRouter& router_;
  std::string service_;
  const routing::Placement& placement_;
  routing::StageGroup group_;
  routing::PoolWork pool_work_;
  Done done_;
  std::string data_centre_;
  std::string scheduler_;
  std::uint32_t scheduler_attempts_ = 0;
  std::string move_to_;  ///< data centre of the next pool; empty: any
  /// Data centres whose pools have no server for the group.
  std::set<std::string> closed_pools_;
  std::unique_ptr<GroupHandle> handle_;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_ROUTED_GROUP_H_
