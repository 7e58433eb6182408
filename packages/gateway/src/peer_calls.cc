#include "gentianroute/gateway/peer_calls.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "gentianroute/gateway/detail/cluster_messages.h"
#include "gentianroute/gateway/detail/peer_task_errors.h"

namespace gentianroute::gateway {
namespace {

using detail::ReadOutcome;
using detail::WriteGroup;

/// A copy over a slow shared link takes most of a second. Requesting it again
/// before it has arrived would use the link twice.
constexpr Duration kStoreCopyTimeout = std::chrono::milliseconds(1500);
/// A packet of the first attempt may have been lost.
constexpr int kMaxConnectFailures = 2;

}  // namespace

/// A call to a peer that ends with the object derived from this.
template <typename Derived>
class PeerCalls::CancellableCall {
 public:
  template <typename T>
  kj::Promise<T> Wrap(kj::Promise<T> call) {
    return canceler_.wrap(kj::mv(call));
  }
  /// Expires with this object, so that callbacks detect its destruction.
  std::weak_ptr<Derived*> self() const { return self_; }

 protected:
  CancellableCall() = default;
  ~CancellableCall() noexcept { canceler_.cancel("the request has ended"); }

 private:
  kj::Canceler canceler_;
  std::shared_ptr<Derived*> self_ =
      std::make_shared<Derived*>(static_cast<Derived*>(this));
};

/// A call that has one result. Destroying it cancels the call.
template <typename Handle, typename Result>
class PeerCalls::RemoteCall final
    : public Handle,
      public CancellableCall<RemoteCall<Handle, Result>> {
 public:
  using Done = std::function<void(std::optional<Result>)>;

  explicit RemoteCall(Done done) : done_(std::move(done)) {}

  void End(std::optional<Result> result) {
    if (auto done = std::exchange(done_, nullptr)) {
      done(std::move(result));
    }
  }

 private:
  Done done_;
};

/// A caller's request that a peer runs. Destroying it cancels the call.
class PeerCalls::RemoteRequest final : public HandedRequestHandle,
                                       public CancellableCall<RemoteRequest> {
 public:
  explicit RemoteRequest(PeerAnswerObserver& observer) : observer_(observer) {}

  /// Passes the peer's messages on, for as long as the request exists.
  class Reader final : public schema::AnswerReader::Server {
   public:
    explicit Reader(std::weak_ptr<RemoteRequest*> request)
        : request_(std::move(request)) {}

    kj::Promise<void> whole(WholeContext context) override {
      const auto params = context.getParams();
      if (RemoteRequest* request = End()) {
        request->observer_.OnWholeAnswer(
            params.getStatus(), detail::ReadFields(params.getFields()),
            detail::TextOf(params.getBody()),
            {{}, detail::ReadLeavingServer(params.getLeaving())});
      }
      return kj::READY_NOW;
    }
    kj::Promise<void> begin(BeginContext context) override {
      const auto params = context.getParams();
      if (const auto alive = request_.lock()) {
        (*alive)->observer_.OnAnswerBegun(
            params.getStatus(), detail::ReadFields(params.getFields()),
            {detail::ReadOrigin(params.getOrigin()),
             detail::ReadLeavingServer(params.getLeaving())});
      }
      return kj::READY_NOW;
    }
    kj::Promise<void> part(PartContext context) override {
      if (const auto alive = request_.lock()) {
        (*alive)->observer_.OnAnswerPart(
            detail::TextOf(context.getParams().getBytes()));
      }
      return kj::READY_NOW;
    }
    kj::Promise<void> end(EndContext context) override {
      const bool complete = context.getParams().getComplete();
      if (RemoteRequest* request = End()) {
        complete ? request->observer_.OnAnswerEnded()
                 : request->observer_.OnPeerFailed();
      }
      return kj::READY_NOW;
    }

   private:
    /// Returns null if the request is gone or has ended.
    RemoteRequest* End() const {
      const auto alive = request_.lock();
      return alive != nullptr && !std::exchange((*alive)->ended_, true)
                 ? *alive
                 : nullptr;
    }

    std::weak_ptr<RemoteRequest*> request_;
  };

  /// The call has ended. Without an earlier answer, the peer has failed.
  void End(std::optional<std::monostate> /*result*/) {
    if (!std::exchange(ended_, true)) {
      observer_.OnPeerFailed();
    }
  }

 private:
  PeerAnswerObserver& observer_;
  bool ended_ = false;
};

PeerCalls::PeerCalls(EventLoop& loop, OnUnreachable on_unreachable)
    : loop_(loop),
      on_unreachable_(std::move(on_unreachable)),
      task_errors_(std::make_unique<detail::PeerTaskErrors>()),
      tasks_(std::make_unique<kj::TaskSet>(*task_errors_)) {}

PeerCalls::~PeerCalls() {
  loop_.Cancel(sweep_timer_);
}

void PeerCalls::EnsureConnected(const DaemonState& peer) {
  Connection& connection = connections_[peer.name];
  connection.peer = peer;
  if (connection.rpc == nullptr || connection.broken) {
    Connect(connection);
  }
}

void PeerCalls::Disconnect(std::string_view peer) {
  const auto found = connections_.find(peer);
  if (found != connections_.end()) {
    connections_.erase(found);
  }
}

void PeerCalls::Connect(Connection& connection) {
  connection.broken = false;
  connection.rpc = std::make_unique<RpcConnection>(
      loop_, connection.peer.address, connection.peer.port,
      [this, &connection] { OnBroken(connection); });
}

void PeerCalls::OnBroken(Connection& connection) {
  connection.broken = true;
  connection.failures =
      connection.rpc->was_connected() ? 0 : connection.failures + 1;
  // The connection must not be destroyed by its own callback.
  loop_.Cancel(sweep_timer_);
  sweep_timer_ = loop_.After(Duration{0}, [this] { ReplaceBroken(); });
}

void PeerCalls::ReplaceBroken() {
  std::vector<std::string> unreachable;
  for (auto& [name, connection] : connections_) {
    if (!connection.broken) {
      continue;
    }
    if (connection.failures < kMaxConnectFailures) {
      Connect(connection);
    } else {
      unreachable.push_back(name);
    }
  }
  for (const std::string& name : unreachable) {
    connections_.erase(name);
    on_unreachable_(name);
  }
}

schema::Cluster::Client PeerCalls::ClientOf(const DaemonState& peer) {
  EnsureConnected(peer);
  return connections_.find(peer.name)
      ->second.rpc->bootstrap()
      .castAs<schema::Cluster>();
}

template <typename Remote, typename Params, typename Results, typename Read>
void PeerCalls::Send(Remote& remote,
                     capnp::Request<Params, Results> request,
                     Read read) {
  auto self = remote.self();
  // Only the call itself is cancellable: the callback may destroy the object,
  // and a promise must not be destroyed by its own callback.
  kj::Promise<capnp::Response<Results>> sent = request.send();
  tasks_->add(remote.Wrap(kj::mv(sent))
                  .then(
                      [self, read](auto response) {
                        if (const auto alive = self.lock()) {
                          (*alive)->End(read(response));
                        }
                      },
                      [self](kj::Exception&& /*exception*/) {
                        if (const auto alive = self.lock()) {
                          (*alive)->End(std::nullopt);
                        }
                      }));
}

std::unique_ptr<GroupHandle> PeerCalls::RunGroup(
    const DaemonState& peer,
    const PoolKey& pool,
    const routing::StageGroup& group,
    std::function<void(std::optional<GroupOutcome>)> done) {
  auto remote =
      std::make_unique<RemoteCall<GroupHandle, GroupOutcome>>(std::move(done));
  auto request = ClientOf(peer).runGroupRequest();
  WriteGroup(loop_.Now(), pool.service, pool.data_centre, group,
             request.initGroup());
  Send(*remote, kj::mv(request),
       [](const auto& response) { return ReadOutcome(response.getOutcome()); });
  return remote;
}

void PeerCalls::TellBegunStreams(const DaemonState& peer,
                                 std::span<const routing::BegunStream> streams,
                                 std::function<void()> on_failed) {
  auto request = ClientOf(peer).streamsBegunRequest();
  detail::WriteBegunStreams(
      streams, request.initStreams(static_cast<unsigned>(streams.size())));
  tasks_->add(request.send().ignoreResult().then(
      [] {}, [on_failed = std::move(on_failed)](
                 kj::Exception&& /*broken*/) { on_failed(); }));
}

std::unique_ptr<PeerQuestion> PeerCalls::AskStreamOrigin(
    const DaemonState& peer,
    std::string_view stream,
    std::string_view service,
    OriginQuestion question,
    std::function<void(std::optional<routing::OriginReport>)> done) {
  auto remote =
      std::make_unique<RemoteCall<PeerQuestion, routing::OriginReport>>(
          std::move(done));
  auto request = ClientOf(peer).streamOriginRequest();
  request.setId(std::string(stream));
  request.setService(std::string(service));
  request.setConfirm(question == OriginQuestion::kConfirmed);
  Send(*remote, kj::mv(request), [](const auto& response) {
    return detail::ReadReport(response.getReport());
  });
  return remote;
}

std::unique_ptr<HandedRequestHandle> PeerCalls::HandOver(
    const DaemonState& peer,
    const HandedRequest& request,
    PeerAnswerObserver& observer) {
  auto remote = std::make_unique<RemoteRequest>(observer);
  auto call = ClientOf(peer).handOverRequest();
  detail::WriteHandedRequest(request, call.initRequest());
  call.setReader(kj::heap<RemoteRequest::Reader>(remote->self()));
  Send(*remote, kj::mv(call),
       [](const auto& /*response*/) { return std::monostate(); });
  return remote;
}

void PeerCalls::Release(const DaemonState& peer,
                        const PoolKey& pool,
                        std::span<const std::string> results) {
  auto request = ClientOf(peer).releaseRequest();
  request.setService(pool.service);
  request.setDataCentre(pool.data_centre);
  auto out = request.initResults(static_cast<unsigned>(results.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out.set(i, results[i]);
  }
  // A lost release is not repeated; the server then keeps the results for some
  // seconds longer.
  tasks_->add(request.send().ignoreResult());
}

void PeerCalls::FetchDaemonList(
    const DaemonState& peer,
    std::function<void(const std::vector<ListedDaemon>&)> done) {
  tasks_->add(ClientOf(peer).knownDaemonsRequest().send().then(
      [done = std::move(done)](auto response) {
        std::vector<ListedDaemon> listed;
        for (const auto daemon : response.getDaemons()) {
          ListedDaemon& entry = listed.emplace_back();
          entry.state.name = daemon.getName();
          entry.state.address = daemon.getAddress();
          entry.state.port = daemon.getPort();
          entry.state.data_centre = daemon.getDataCentre();
          entry.state.processor_share = daemon.getProcessorShare();
          entry.may_be_alive = daemon.getAlive();
        }
        done(listed);
      }));
}

void PeerCalls::FetchStoreCopy(
    const DaemonState& peer,
    const StoreVersions& known,
    std::function<void(schema::StoreCopy::Reader)> done) {
  fetching_ = true;
  auto request = ClientOf(peer).storeCopyRequest();
  request.setDeploymentVersion(known.deployment);
  request.setServersVersion(known.servers);
  request.setVersionRecords(known.version_records);
  auto timeout = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(timeout.fulfiller));
  loop_.After(kStoreCopyTimeout, [fulfiller] { (*fulfiller)->fulfill(); });
  tasks_->add(
      request.send()
          .then([done = std::move(done)](auto response) {
            done(response.getCopy());
          })
          .exclusiveJoin(kj::mv(timeout.promise))
          .then([this] { fetching_ = false; },
                [this](kj::Exception&& /*broken*/) { fetching_ = false; }));
}

}  // namespace gentianroute::gateway
