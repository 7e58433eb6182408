#include "gentianroute/gateway/cluster.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/async.h>

#include <algorithm>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "gentianroute/gateway/detail/cluster_messages.h"
#include "gentianroute/gateway/detail/peer_exchange.h"
#include "gentianroute/gateway/detail/peer_task_errors.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

using detail::ReadGroup;
using detail::WriteOutcome;

/// Services out of reach that are read from a heartbeat.
constexpr std::size_t kMaxUnreached = 64;

DaemonState OwnState(const GatewaySettings& settings,
                     std::uint64_t incarnation) {
  DaemonState own;
  own.name = settings.name;
  own.incarnation = incarnation;
  own.address = settings.peers.address;
  own.port = settings.peers.port;
  own.data_centre = settings.data_centre;
  // Rounded as in the heartbeats, so that all daemons compare equal values.
  own.processor_share = static_cast<float>(settings.processor_share);
  return own;
}

std::vector<PoolKey> PoolsOf(schema::Beat::Reader heartbeat) {
  std::vector<PoolKey> pools;
  for (const auto backlog : heartbeat.getBacklogs()) {
    pools.push_back({backlog.getService(), backlog.getDataCentre()});
  }
  return pools;
}

Reach ReachOf(schema::Beat::Reader heartbeat) {
  Reach reach;
  reach.cut_off = heartbeat.getCutOff();
  for (const auto service : heartbeat.getUnreached()) {
    if (reach.unreached.size() < kMaxUnreached) {
      reach.unreached.emplace_back(service);
    }
  }
  std::ranges::sort(reach.unreached);
  return reach;
}

void WriteReach(const Reach& reach, schema::Beat::Builder heartbeat) {
  heartbeat.setCutOff(reach.cut_off);
  const std::size_t told = std::min(reach.unreached.size(), kMaxUnreached);
  auto unreached = heartbeat.initUnreached(static_cast<unsigned>(told));
  for (unsigned i = 0; i < unreached.size(); ++i) {
    unreached.set(i, reach.unreached[i]);
  }
}

bool HasQuarantines(schema::Beat::Reader heartbeat) {
  return heartbeat.getQuarantined().size() > 0 ||
         heartbeat.getPartQuarantines().size() > 0;
}

DaemonState StateOf(schema::Beat::Reader heartbeat) {
  DaemonState state;
  state.name = heartbeat.getDaemon();
  state.incarnation = heartbeat.getIncarnation();
  state.address = heartbeat.getAddress();
  state.port = heartbeat.getPort();
  state.data_centre = heartbeat.getDataCentre();
  state.leaving = heartbeat.getDraining();
  state.reach = ReachOf(heartbeat);
  state.processor_share = heartbeat.getProcessorShare();
  state.store = static_cast<StoreContact>(
      std::min<unsigned>(heartbeat.getStoreContact(),
                         static_cast<unsigned>(StoreContact::kUnreachable)));
  state.versions = {heartbeat.getDeploymentVersion(),
                    heartbeat.getServersVersion(),
                    heartbeat.getVersionRecords()};
  state.records_versions = heartbeat.getRecordsVersions();
  state.pools = PoolsOf(heartbeat);
  state.has_quarantined = HasQuarantines(heartbeat);
  state.known_daemons = heartbeat.getDaemonsKnown();
  state.heartbeat_interval = std::chrono::milliseconds(heartbeat.getNextMs());
  return state;
}

kj::Array<kj::byte> Packed(capnp::MallocMessageBuilder& message) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  return kj::heapArray(packed.getArray());
}

}  // namespace

/// Each call in progress holds a reference besides that of the cluster. Calls
/// may outlive the cluster.
struct Cluster::PeerCallCount
    : boost::intrusive_ref_counter<PeerCallCount,
                                   boost::thread_unsafe_counter> {};

/// Calls that peers make to this daemon.
class Cluster::Service final : public schema::Cluster::Server {
 public:
  explicit Service(Cluster& cluster)
      : cluster_(cluster), messages_(message_errors_) {}

  kj::Promise<void> runGroup(RunGroupContext context) override {
    // The caller's request may end first, which cancels the queued pieces.
    context.allowCancellation();
    const auto group = context.getParams().getGroup();
    const std::string service = group.getService();
    const std::string data_centre = group.getDataCentre();
    routing::StageGroup work = ReadGroup(cluster_.loop_.Now(), group);
    if (!detail::HasValidTexts(work)) {
      LogEvent("group_unreadable", LogLevel::kWarning)
          .Field("service", service);
      return KJ_EXCEPTION(FAILED, "a text of the group is not UTF-8");
    }
    auto done = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(done.fulfiller));
    std::unique_ptr<GroupHandle> handle = cluster_.handler_.RunGroup(
        service, data_centre, std::move(work),
        [context, fulfiller](const GroupOutcome& outcome) mutable {
          WriteOutcome(outcome, context.getResults().initOutcome());
          (*fulfiller)->fulfill();
        });
    return done.promise.attach(
        kj::heap<std::unique_ptr<GroupHandle>>(std::move(handle)),
        kj::heap(cluster_.peer_calls_));
  }

  kj::Promise<void> handOver(HandOverContext context) override {
    // The caller may be gone before the answer, which cancels the request.
    context.allowCancellation();
    const auto params = context.getParams();
    auto done = kj::newPromiseAndFulfiller<void>();
    const boost::intrusive_ptr<PeerExchange> exchange(new PeerExchange(
        cluster_.loop_.Now(), detail::ReadHandedRequest(params.getRequest()),
        params.getReader(), messages_, kj::mv(done.fulfiller)));
    const RequestProgress progress = exchange->progress();
    cluster_.handler_.RunHandedRequest(exchange, progress,
                                       [exchange](const AnswerSource& source) {
                                         exchange->SetSource(source);
                                       });
    return done.promise.attach(
        kj::defer([exchange] { exchange->OnCallEnded(); }),
        kj::heap(cluster_.peer_calls_));
  }

  kj::Promise<void> release(ReleaseContext context) override {
    const auto params = context.getParams();
    std::vector<std::string> results;
    for (const auto result : params.getResults()) {
      results.emplace_back(result);
    }
    const std::string service = params.getService();
    const std::string data_centre = params.getDataCentre();
    cluster_.handler_.OnReleased(service, data_centre, std::move(results));
    return kj::READY_NOW;
  }

  kj::Promise<void> streamsBegun(StreamsBegunContext context) override {
    cluster_.handler_.OnPeerStreams(
        detail::ReadBegunStreams(context.getParams().getStreams()));
    return kj::READY_NOW;
  }

  kj::Promise<void> streamOrigin(StreamOriginContext context) override {
    const auto params = context.getParams();
    const std::string stream = params.getId();
    const std::string service = params.getService();
    if (!params.getConfirm()) {
      detail::WriteReport(cluster_.handler_.ReportOnStream(stream, service),
                          context.getResults().initReport());
      return kj::READY_NOW;
    }
    // The caller waits for a moment only, which cancels the question.
    context.allowCancellation();
    auto done = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(done.fulfiller));
    std::unique_ptr<StoreConfirmation> confirmation =
        cluster_.handler_.ConfirmReportOnStream(
            stream, service,
            [context, fulfiller](const routing::OriginReport& report) mutable {
              detail::WriteReport(report, context.getResults().initReport());
              (*fulfiller)->fulfill();
            });
    return done.promise.attach(
        kj::heap<std::unique_ptr<StoreConfirmation>>(std::move(confirmation)));
  }

  kj::Promise<void> knownDaemons(KnownDaemonsContext context) override {
    const std::vector<ListedDaemon> list = cluster_.members_.List();
    auto out =
        context.getResults().initDaemons(static_cast<unsigned>(list.size()));
    for (unsigned i = 0; i < out.size(); ++i) {
      const DaemonState& state = list[i].state;
      out[i].setName(state.name);
      out[i].setAddress(state.address);
      out[i].setPort(state.port);
      out[i].setDataCentre(state.data_centre);
      out[i].setProcessorShare(static_cast<float>(state.processor_share));
      out[i].setAlive(list[i].may_be_alive);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> storeCopy(StoreCopyContext context) override {
    const auto params = context.getParams();
    const StoreVersions known{params.getDeploymentVersion(),
                              params.getServersVersion(),
                              params.getVersionRecords()};
    cluster_.handler_.FillStoreCopy(known, context.getResults().initCopy());
    return kj::READY_NOW;
  }

 private:
  Cluster& cluster_;
  detail::PeerTaskErrors message_errors_;
  kj::TaskSet messages_;  ///< answers to handed requests
};

Cluster::Cluster(EventLoop& loop,
                 const GatewaySettings& settings,
                 Store& store,
                 ClusterHandler& handler)
    : loop_(loop),
      callbacks_(loop),
      handler_(handler),
      members_(loop.Now(),
               OwnState(settings, static_cast<std::uint64_t>(loop.WallTime())),
               settings.regions,
               static_cast<std::uint64_t>(loop.WallTime())),
      rows_(loop,
            store,
            members_.own(),
            settings.first_start,
            [this](std::string_view data_centre,
                   const std::vector<DaemonState>& daemons) {
              OnRows(data_centre, daemons);
            }),
      calls_(loop, [this](const std::string& peer) { OnUnreachable(peer); }),
      first_start_(settings.first_start),
      peer_calls_(new PeerCallCount) {
  datagrams_ = std::make_unique<DatagramSocket>(
      loop_, settings.peers.address, settings.peers.port,
      [this](std::span<const std::byte> message) { OnDatagram(message); });
  server_ = std::make_unique<RpcServer>(loop_, settings.peers.address,
                                        settings.peers.port,
                                        kj::heap<Service>(*this));
}

Cluster::~Cluster() {
  loop_.Cancel(heartbeat_timer_);
  loop_.Cancel(list_timer_);
  loop_.Cancel(list_fetch_timer_);
}

std::size_t Cluster::peer_calls() const {
  return peer_calls_->use_count() - 1;
}

void Cluster::Start() {
  RunHeartbeatRound();
  rows_.Start();
}

void Cluster::SetStageServices(std::vector<std::string> services) {
  members_.SetStageServices(std::move(services));
}

void Cluster::AnnounceLeaving() {
  members_.Leave();
  ScheduleHeartbeatNow();
}

void Cluster::AnnounceReach(Reach reach) {
  members_.SetReach(std::move(reach));
  // A scheduler tells all peers in its next rounds.
  if (members_.own().pools.empty()) {
    SendUpdate(UpdateScope::kDataCentre);
  } else {
    ScheduleHeartbeatNow();
  }
}

void Cluster::RunHeartbeatRound() {
  const TimePoint now = loop_.Now();
  DetectLostPeers(now);
  Send(members_.HeartbeatTargets(now));
  FetchListIfOutOfContact();
  heartbeat_timer_ = loop_.After(members_.UntilNextRound(now),
                                 [this] { RunHeartbeatRound(); });
}

void Cluster::ScheduleHeartbeatNow() {
  loop_.Cancel(heartbeat_timer_);
  heartbeat_timer_ = loop_.After(Duration{0}, [this] { RunHeartbeatRound(); });
}

void Cluster::Send(const Membership::Targets& targets) {
  std::map<std::pair<LoadReport, Duration>, kj::Array<kj::byte>> messages;
  for (const Membership::Peer* peer : targets) {
    const LoadReport load = members_.SendsLoadTo(*peer) ? LoadReport::kIncluded
                                                        : LoadReport::kOmitted;
    const Duration next = members_.HeartbeatIntervalTo(*peer);
    kj::Array<kj::byte>& bytes = messages[{load, next}];
    if (bytes == nullptr) {
      bytes = EncodeHeartbeat(load, next);
    }
    datagrams_->Send(
        peer->state.address, peer->state.port,
        {reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size()});
  }
}

kj::Array<kj::byte> Cluster::EncodeHeartbeat(LoadReport load, Duration next) {
  capnp::MallocMessageBuilder message;
  auto heartbeat = message.initRoot<schema::Beat>();
  const DaemonState& own = members_.own();
  heartbeat.setDaemon(own.name);
  heartbeat.setIncarnation(own.incarnation);
  heartbeat.setAddress(own.address);
  heartbeat.setPort(own.port);
  heartbeat.setDataCentre(own.data_centre);
  heartbeat.setDraining(own.leaving);
  heartbeat.setRecordsVersions(true);
  WriteReach(own.reach, heartbeat);
  heartbeat.setProcessorShare(static_cast<float>(own.processor_share));
  heartbeat.setNextMs(static_cast<std::uint32_t>(WholeMilliseconds(next)));
  handler_.FillHeartbeat(heartbeat, load);
  heartbeat.setDaemonsKnown(
      static_cast<std::uint32_t>(members_.known_daemons()));
  members_.UpdateOwnState(PoolsOf(heartbeat.asReader()),
                          HasQuarantines(heartbeat.asReader()));
  const auto lost = members_.RecentlyLost(loop_.Now());
  auto out = heartbeat.initLost(static_cast<unsigned>(lost.size()));
  for (unsigned i = 0; i < lost.size(); ++i) {
    out[i].setName(lost[i]->state.name);
    out[i].setIncarnation(lost[i]->state.incarnation);
  }
  return Packed(message);
}

void Cluster::OnDatagram(std::span<const std::byte> message) {
  const auto failed = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(message.data()), message.size()));
    capnp::PackedMessageReader reader(stream);
    OnHeartbeat(reader.getRoot<schema::Beat>());
  });
  if (failed != nullptr) {
    LogEvent("beat_unreadable", LogLevel::kWarning);
  }
}

void Cluster::OnHeartbeat(schema::Beat::Reader heartbeat) {
  const std::string name = heartbeat.getDaemon();
  if (name.empty() || members_.IsSelf(name)) {
    return;
  }
  const Membership::Peer* known = members_.Find(name);
  const Reach before = known == nullptr ? Reach{} : known->state.reach;
  const auto arrival = members_.OnHeartbeat(loop_.Now(), StateOf(heartbeat));
  const Membership::Peer& peer = *members_.Find(name);
  const Reach& reach = peer.state.reach;
  if (reach.HasShrunkSince(before)) {
    LogEvent("peer_cut_off", LogLevel::kWarning)
        .Field("peer", name)
        .Field("from", reach.cut_off ? "all servers" : "services")
        .Field("services", reach.unreached.size());
    handler_.OnPeerCutOff(name);
  }
  if (arrival != Membership::Arrival::kKnown) {
    OnPeerUp(peer);
  }
  // The connection has to exist before there is work for the scheduler. In a
  // small fleet every daemon may become one; in a large one, schedulers
  // announce their pools.
  if (members_.IsSmallFleet() || !peer.state.pools.empty()) {
    calls_.EnsureConnected(peer.state);
  }
  FetchListIfLonger(peer);
  for (const auto lost : heartbeat.getLost()) {
    OnLossReport(lost, name);
  }
  handler_.OnHeartbeat(heartbeat);
}

void Cluster::OnLossReport(schema::LostDaemon::Reader lost,
                           const std::string& told_by) {
  const std::string name = lost.getName();
  switch (members_.OnLossReport(loop_.Now(), name, lost.getIncarnation())) {
    case Membership::LossReport::kStale:
      return;
    case Membership::LossReport::kNew:
      LogEvent("peer_lost_elsewhere", LogLevel::kWarning)
          .Field("peer", name)
          .Field("told_by", told_by);
      OnPeerLost(name);
      return;
    case Membership::LossReport::kAboutSelf:
      LogEvent("loss_denied", LogLevel::kWarning).Field("told_by", told_by);
      ScheduleHeartbeatNow();
      return;
  }
}

void Cluster::OnPeerUp(const Membership::Peer& peer) {
  LogEvent("peer_up")
      .Field("peer", peer.state.name)
      .Field("incarnation", peer.state.incarnation);
  calls_.Disconnect(peer.state.name);
  // The peer may have missed this daemon's last heartbeat. Only the peer gets a
  // reply: informing all others of each new peer would take a cubic number of
  // datagrams when all daemons start at once.
  if (members_.RepliesTo(peer)) {
    Send({&peer});
  }
}

void Cluster::DetectLostPeers(TimePoint now) {
  for (const Membership::LostPeer& lost : members_.DetectLostPeers(now)) {
    LogEvent("peer_down", LogLevel::kWarning)
        .Field("peer", lost.name)
        .Field("silent_ms", Milliseconds(lost.silence));
    OnPeerLost(lost.name);
  }
}

void Cluster::OnUnreachable(const std::string& peer) {
  if (members_.OnUnreachable(peer)) {
    LogEvent("peer_unreachable", LogLevel::kWarning).Field("peer", peer);
    OnPeerLost(peer);
  }
}

void Cluster::OnPeerLost(const std::string& peer) {
  calls_.Disconnect(peer);
  handler_.OnPeerLost(peer);
}

void Cluster::SendUpdate(UpdateScope scope) {
  update_scope_ = std::max(update_scope_, scope);
  if (std::exchange(update_pending_, true)) {
    return;
  }
  callbacks_.After(Duration{0}, [this] {
    update_pending_ = false;
    SendUpdateNow(std::exchange(update_scope_, UpdateScope::kForward));
  });
}

void Cluster::SendUpdateNow(UpdateScope scope) {
  switch (scope) {
    case UpdateScope::kForward:
      Send(members_.GossipTargets(Membership::GossipRole::kForwarder));
      return;
    case UpdateScope::kGossip:
      Send(members_.GossipTargets(Membership::GossipRole::kOrigin));
      return;
    case UpdateScope::kDataCentre:
      Send(members_.DataCentrePeers());
      return;
  }
}

void Cluster::FetchStoreCopy(const StoreVersions& known) {
  if (calls_.fetching()) {
    return;
  }
  const Membership::Peer* source = members_.StoreCopySource(known);
  if (source == nullptr) {
    return;
  }
  calls_.FetchStoreCopy(
      source->state, known,
      [this](schema::StoreCopy::Reader copy) { handler_.OnStoreCopy(copy); });
}

std::unique_ptr<GroupHandle> Cluster::RunGroupAt(
    std::string_view peer,
    const PoolKey& pool,
    const routing::StageGroup& group,
    std::function<void(std::optional<GroupOutcome>)> done) {
  return calls_.RunGroup(members_.Find(peer)->state, pool, group,
                         std::move(done));
}

void Cluster::TellBegunStreams(const Membership::Peer& keeper,
                               std::span<const routing::BegunStream> streams,
                               std::function<void()> on_failed) {
  calls_.TellBegunStreams(keeper.state, streams, std::move(on_failed));
}

void Cluster::ReleaseAt(std::string_view peer,
                        const PoolKey& pool,
                        std::span<const std::string> results) {
  calls_.Release(members_.Find(peer)->state, pool, results);
}

}  // namespace gentianroute::gateway
