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
#include <vector>

#include "gentianroute/gateway/group_outcome.h"
#include "gentianroute/gateway/handed_request.h"
#include "gentianroute/gateway/membership.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/routing/stage_pool.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// @brief A question to a peer; its destruction cancels it.
class PeerQuestion {
 public:
  virtual ~PeerQuestion() = default;
};

/// @brief Whether a peer says what it knows, or asks the store first whether
/// that is still so.
enum class OriginQuestion : std::uint8_t { kPlain, kConfirmed };

/// @brief Calls to other daemons, over one persistent connection to each.
class PeerCalls {
 public:
  /// @brief Called with a daemon to which two connection attempts in a row
  /// failed.
  using OnUnreachable = std::function<void(const std::string& peer)>;

  PeerCalls(EventLoop& loop, OnUnreachable on_unreachable);
  ~PeerCalls();

  /// @brief Connects to a peer, unless there is a connection.
  void EnsureConnected(const DaemonState& peer);
  /// @brief Closes the connection, after the peer was lost or has restarted.
  void Disconnect(std::string_view peer);

  /// @brief Sends a group to another daemon.
  /// @param done called once: with the outcome, or with nothing if the call
  /// failed and the pieces may have been executed. Not called after the
  /// returned object is destroyed.
  std::unique_ptr<GroupHandle> RunGroup(
      const DaemonState& peer,
      const PoolKey& pool,
      const routing::StageGroup& group,
      std::function<void(std::optional<GroupOutcome>)> done);

  /// @brief Tells the scheduler of a pool which results are no longer needed.
  void Release(const DaemonState& peer,
               const PoolKey& pool,
               std::span<const std::string> results);

  /// @brief Hands a caller's request to another daemon.
  /// @param observer must outlive the returned handle
  std::unique_ptr<HandedRequestHandle> HandOver(const DaemonState& peer,
                                                const HandedRequest& request,
                                                PeerAnswerObserver& observer);

  /// @brief Tells a peer the origins of streams, which it keeps.
  /// @param on_failed called if the peer may not have got them; not after this
  /// object is destroyed
  void TellBegunStreams(const DaemonState& peer,
                        std::span<const routing::BegunStream> streams,
                        std::function<void()> on_failed);
  /// @brief Asks a peer for the origin of a stream of a service.
  /// @param done called once: with nothing if the call failed. Not called after
  /// the returned object is destroyed.
  std::unique_ptr<PeerQuestion> AskStreamOrigin(
      const DaemonState& peer,
      std::string_view stream,
      std::string_view service,
      OriginQuestion question,
      std::function<void(std::optional<routing::OriginReport>)> done);

  /// @brief Asks a peer for the rows of the store that are newer than these
  /// versions.
  /// @pre no earlier call is in progress
  void FetchStoreCopy(const DaemonState& peer,
                      const StoreVersions& known,
                      std::function<void(schema::StoreCopy::Reader)> done);
  bool fetching() const { return fetching_; }
  /// @brief Asks a peer for the daemons that it knows.
  void FetchDaemonList(
      const DaemonState& peer,
      std::function<void(const std::vector<ListedDaemon>&)> done);

 private:
  template <typename Derived>
  class CancellableCall;
  template <typename Handle, typename Result>
  class RemoteCall;
  class RemoteRequest;
  struct Connection {
    DaemonState peer;
    std::unique_ptr<RpcConnection> rpc;
    int failures = 0;  ///< consecutive failed connection attempts
    bool broken = false;
  };

  /// Sends a call whose response ends `remote`.
  /// @param read converts the response
  template <typename Remote, typename Params, typename Results, typename Read>
  void Send(Remote& remote, capnp::Request<Params, Results> request, Read read);
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
