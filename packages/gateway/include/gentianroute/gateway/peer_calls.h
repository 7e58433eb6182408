#ifndef GENTIANROUTE_GATEWAY_PEER_CALLS_H_
#define GENTIANROUTE_GATEWAY_PEER_CALLS_H_

#include <cluster.capnp.h>
#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "gentianroute/gateway/group_outcome.h"
#include "gentianroute/gateway/membership.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief Calls to other daemons, each over one connection that is kept.
class PeerCalls {
 public:
  /// @brief A daemon that takes no connection, tried twice.
  using OnUnreachable = std::function<void(const std::string& peer)>;

  PeerCalls(EventLoop& loop, OnUnreachable on_unreachable);
  ~PeerCalls();

  /// @brief Makes the connection to a peer, unless it stands.
  void EnsureConnected(const DaemonState& peer);
  /// @brief Lets go of the connection: the peer is lost, or starts again.
  void Disconnect(std::string_view peer);

  /// @brief Hands a group to another daemon.
  /// @param done called once: with the outcome, or with nothing if the peer
  /// broke off and the pieces may have been made. Not called once the hold is
  /// let go.
  std::unique_ptr<GroupHold> RunGroup(
      const DaemonState& peer,
      const PoolKey& pool,
      const routing::StageGroup& group,
      std::function<void(std::optional<GroupOutcome>)> done);

  /// @brief Tells the scheduler of a pool which results are of no more use.
  void Release(const DaemonState& peer,
               const PoolKey& pool,
               std::span<const std::string> results);

  /// @brief Asks a peer for what it knows of the store beyond these versions.
  /// @pre no such question is under way
  void FetchStoreCopy(const DaemonState& peer,
                      std::uint64_t deployment_version,
                      std::uint64_t servers_version,
                      std::function<void(schema::StoreCopy::Reader)> done);
  bool fetching() const { return fetching_; }

 private:
  class RemoteGroup;
  struct Connection {
    DaemonState peer;
    std::unique_ptr<RpcConnection> rpc;
    int failures = 0;  ///< in a row, to connect
    bool broken = false;
  };

  schema::Cluster::Client ClientOf(const DaemonState& peer);
  void Connect(Connection& connection);
  void OnBroken(Connection& connection);
  void ReplaceBroken();

  EventLoop& loop_;
  OnUnreachable on_unreachable_;
  std::map<std::string, Connection, std::less<>> connections_;
  bool fetching_ = false;
  std::unique_ptr<kj::TaskSet::ErrorHandler> task_errors_;
  std::unique_ptr<kj::TaskSet> tasks_;
  TimerId sweep_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_PEER_CALLS_H_
