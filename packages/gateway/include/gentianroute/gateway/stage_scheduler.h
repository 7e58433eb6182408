#ifndef GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_
#define GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/pool_key.h"
#include "gentianroute/gateway/reach_monitor.h"
#include "gentianroute/gateway/result_releaser.h"
#include "gentianroute/gateway/server_notices.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/loop/relay_fetches.h"
#include "gentianroute/loop/scoped_callbacks.h"
#include "gentianroute/routing/placement.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief Runs the stage pools that this daemon schedules, and sends their
/// calls to the stage servers.
class StageScheduler {
 public:
  StageScheduler(EventLoop& loop,
                 RelayClient& client,
                 const Translator& translator,
                 routing::ServerDirectory& servers,
                 const routing::PlacementRules& placement_rules,
                 ResultReleaser& releaser,
                 ReachMonitor& reach,
                 ServerNotices& notices);
  ~StageScheduler();

  /// @brief Names the data centre whose pool of a service starts a group
  /// sooner than after `wait` in this one; empty if none does.
  using FasterPool = std::function<std::string(std::string_view service,
                                               std::string_view data_centre,
                                               Duration wait,
                                               Duration server_time)>;
  void SetFasterPool(FasterPool faster_pool) {
    faster_pool_ = std::move(faster_pool);
  }
  /// @brief Makes the pools learn how fast their queues drain, and end at once
  /// what can't be done in time. Applies to pools that are used afterwards.
  void LearnQueueDrain() { learns_queue_drain_ = true; }
  void SetTable(routing::RouteTablePtr table);
  /// @brief Runs a group in the pool of a service in a data centre.
  /// @param done called once, after Run() has returned, unless the handle is
  /// destroyed before
  /// @return handle that cancels the group when it is destroyed
  std::unique_ptr<GroupHandle> Run(std::string_view service,
                                   std::string_view data_centre,
                                   routing::StageGroup group,
                                   GroupDone done);
  /// @brief Calls `visit` for each pool to which work was submitted recently.
  void ForEachPool(
      TimePoint now,
      const std::function<void(std::string_view service,
                               std::string_view data_centre,
                               routing::Backlog backlog)>& visit) const;
  /// @brief Applies a change of the evacuated data centres to the queued work.
  void OnEvacuationsChanged();
  /// @brief Releases results that nobody reads any more, in the state of their
  /// pool and at the servers that store them. Does nothing while nothing may
  /// be sent to the data centre; the results expire there.
  void Release(std::string_view service,
               std::string_view data_centre,
               std::vector<std::string> results);
  std::uint64_t calls_sent() const { return calls_sent_; }
  std::uint64_t pieces_sent() const { return pieces_sent_; }
  std::uint64_t groups_moved() const { return groups_moved_; }
  /// @brief Groups that could not be done in time, by whether they were ended
  /// within 250 ms.
  std::uint64_t refused_promptly() const { return refused_promptly_; }
  std::uint64_t refused_late() const { return refused_late_; }
  /// @brief Calls without a complete answer, because a link or server failed.
  std::uint64_t calls_broken() const { return calls_broken_; }

 private:
  class Handle;
  class UnknownPoolHandle;
  struct Pool;
  using PoolPtr = boost::intrusive_ptr<Pool>;

  /// @return null if the service is not a stage service
  Pool* PoolFor(std::string_view service, std::string_view data_centre);
  /// Sends the calls that are due and schedules the next time.
  void Dispatch(Pool& pool);
  /// Schedules one Dispatch() in the event loop, unless one is scheduled
  /// already.
  void DispatchLater(Pool& pool);
  void Send(Pool& pool, const routing::StageCall& call);
  static void LogCall(const Pool& pool,
                      const routing::StageCall& call,
                      std::span<const StagePieceRequest> pieces);
  /// Records what a server says of itself, also in an answer that broke off.
  void RecordNotice(TimePoint sent_at,
                    const RelayFetchResult& end,
                    routing::Server& server);
  StageAnswer ReadAnswer(const Pool& pool,
                         const routing::Server& server,
                         const RelayFetchResult& end);
  void OnCallEnd(Pool& pool,
                 routing::StageCallId call,
                 const StageAnswer& answer);
  /// Returns late groups to their daemons if another pool is faster.
  void MoveLateGroups(Pool& pool);
  void RecordMissedDeadline(const Pool& pool,
                            const routing::MissedDeadline& missed);
  /// Calls back for the groups that have ended and releases orphaned results.
  void DeliverFinished(Pool& pool);
  /// The servers of a pool; none while its data centre is being evacuated.
  std::vector<routing::ServerPtr> ServersOf(const Pool& pool) const;
  /// Keeps calls from the cold servers that may get none from this daemon now.
  void HoldLimitedServers(Pool& pool,
                          std::span<const routing::ServerPtr> servers);

  EventLoop& loop_;
  ScopedCallbacks callbacks_;
  RelayFetches fetches_;
  const Translator& translator_;
  routing::ServerDirectory& servers_;
  const routing::PlacementRules& placement_rules_;
  ResultReleaser& releaser_;
  ReachMonitor& reach_;
  ServerNotices& notices_;
  FasterPool faster_pool_;
  routing::RouteTablePtr table_;
  std::map<PoolKey, PoolPtr> pools_;
  std::uint64_t calls_sent_ = 0;
  std::uint64_t pieces_sent_ = 0;
  std::uint64_t groups_moved_ = 0;
  std::uint64_t refused_promptly_ = 0;
  std::uint64_t refused_late_ = 0;
  bool learns_queue_drain_ = false;
  std::uint64_t calls_broken_ = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_
