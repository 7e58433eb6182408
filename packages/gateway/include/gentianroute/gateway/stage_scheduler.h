#ifndef GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_
#define GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/pool_key.h"
#include "gentianroute/gateway/result_releaser.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/loop/relay_fetches.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief Runs the stage pools that this daemon schedules, and sends their
/// calls.
class StageScheduler {
 public:
  StageScheduler(EventLoop& loop,
                 RelayClient& client,
                 const Translator& translator,
                 routing::ServerDirectory& servers,
                 ResultReleaser& releaser);
  ~StageScheduler();

  void SetTable(routing::RouteTablePtr table);
  /// @brief Runs a group in the pool of a service in a data centre.
  /// @param done called once, later; never once the hold is let go
  std::unique_ptr<GroupHandle> Run(std::string_view service,
                                   std::string_view data_centre,
                                   routing::StageGroup group,
                                   GroupDone done);
  /// @brief Visits each pool that has had work here lately.
  void ForEachPool(
      TimePoint now,
      const std::function<void(std::string_view service,
                               std::string_view data_centre,
                               routing::Backlog backlog)>& visit) const;
  /// @brief Frees the room of results, in a pool's books and at their servers.
  void Release(std::string_view service,
               std::string_view data_centre,
               std::vector<std::string> results);
  std::uint64_t calls_sent() const { return calls_sent_; }
  std::uint64_t pieces_sent() const { return pieces_sent_; }

 private:
  class Handle;
  struct Pool;

  Pool* PoolFor(std::string_view service, std::string_view data_centre);
  void Dispatch(Pool& pool);
  void DispatchLater(Pool& pool);
  void Send(Pool& pool, const routing::StageCall& call);
  static void LogCall(const Pool& pool,
                      const routing::StageCall& call,
                      std::span<const StagePieceRequest> pieces);
  StageAnswer ReadAnswer(const Pool& pool, const RelayFetchResult& end) const;
  void OnCallEnd(Pool& pool,
                 routing::StageCallId call,
                 const StageAnswer& answer);
  void DeliverFinished(Pool& pool);
  std::vector<routing::ServerPtr> ServersOf(const Pool& pool) const;

  EventLoop& loop_;
  RelayFetches fetches_;
  const Translator& translator_;
  routing::ServerDirectory& servers_;
  ResultReleaser& releaser_;
  routing::RouteTablePtr table_;
  std::map<PoolKey, std::unique_ptr<Pool>> pools_;
  std::uint64_t calls_sent_ = 0;
  std::uint64_t pieces_sent_ = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STAGE_SCHEDULER_H_
