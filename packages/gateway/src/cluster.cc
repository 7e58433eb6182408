#include "gentianroute/gateway/cluster.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/async.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "gentianroute/gateway/detail/cluster_messages.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

using detail::ReadGroup;
using detail::WriteOutcome;

DaemonState OwnState(const GatewaySettings& settings,
                     std::uint64_t incarnation) {
  DaemonState own;
  own.name = settings.name;
  own.incarnation = incarnation;
  own.address = settings.peers.address;
  own.port = settings.peers.port;
  own.data_centre = settings.data_centre;
  // The same rounding as in the beats: all have to see equal shares as equal.
  own.processor_share = static_cast<float>(settings.processor_share);
  return own;
}

std::vector<PoolKey> PoolsOf(schema::Beat::Reader beat) {
  std::vector<PoolKey> pools;
  for (const auto backlog : beat.getBacklogs()) {
    pools.push_back({backlog.getService(), backlog.getDataCentre()});
  }
  return pools;
}

DaemonState StateOf(schema::Beat::Reader beat) {
  DaemonState state;
  state.name = beat.getDaemon();
  state.incarnation = beat.getIncarnation();
  state.address = beat.getAddress();
  state.port = beat.getPort();
  state.data_centre = beat.getDataCentre();
  state.leaving = beat.getDraining();
  state.processor_share = beat.getProcessorShare();
  state.store = static_cast<StoreContact>(std::min<unsigned>(
      beat.getStoreContact(), static_cast<unsigned>(StoreContact::kSilent)));
  state.deployment_version = beat.getDeploymentVersion();
  state.servers_version = beat.getServersVersion();
  state.pools = PoolsOf(beat);
  state.has_quarantined = beat.getQuarantined().size() > 0;
  state.next_beat = std::chrono::milliseconds(beat.getNextMs());
  return state;
}

kj::Array<kj::byte> Packed(capnp::MallocMessageBuilder& message) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  return kj::heapArray(packed.getArray());
}

}  // namespace

/// What peers may ask of this daemon.
class Cluster::Service final : public schema::Cluster::Server {
 public:
  explicit Service(Cluster& cluster) : cluster_(cluster) {}

  kj::Promise<void> runGroup(RunGroupContext context) override {
    // The caller's request may end first; its waiting pieces then go.
    context.allowCancellation();
    const auto group = context.getParams().getGroup();
    const std::string service = group.getService();
    const std::string data_centre = group.getDataCentre();
    auto done = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(done.fulfiller));
    std::unique_ptr<GroupHandle> hold = cluster_.handler_.RunGroup(
        service, data_centre, ReadGroup(cluster_.loop_.Now(), group),
        [context, fulfiller](const GroupOutcome& outcome) mutable {
          WriteOutcome(outcome, context.getResults().initOutcome());
          (*fulfiller)->fulfill();
        });
    return done.promise.attach(
        kj::heap<std::unique_ptr<GroupHandle>>(std::move(hold)));
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

  kj::Promise<void> storeCopy(StoreCopyContext context) override {
    const auto params = context.getParams();
    cluster_.handler_.FillStoreCopy(params.getDeploymentVersion(),
                                    params.getServersVersion(),
                                    context.getResults().initCopy());
    return kj::READY_NOW;
  }

 private:
  Cluster& cluster_;
};

Cluster::Cluster(EventLoop& loop,
                 const GatewaySettings& settings,
                 Store& store,
                 ClusterHandler& handler)
    : loop_(loop),
      handler_(handler),
      members_(loop.Now(),
               OwnState(settings, static_cast<std::uint64_t>(loop.WallTime())),
               settings.regions,
               static_cast<std::uint64_t>(loop.WallTime())),
      rows_(
          loop,
          store,
          members_.own(),
          [this](const std::vector<DaemonState>& daemons) { OnRows(daemons); }),
      calls_(loop, [this](const std::string& peer) { OnUnreachable(peer); }) {
  datagrams_ = std::make_unique<DatagramSocket>(
      loop_, settings.peers.address, settings.peers.port,
      [this](std::span<const std::byte> message) { OnMessage(message); });
  server_ = std::make_unique<RpcServer>(loop_, settings.peers.address,
                                        settings.peers.port,
                                        kj::heap<Service>(*this));
}

Cluster::~Cluster() {
  loop_.Cancel(beat_timer_);
}

void Cluster::Start() {
  OnBeatTime();
  rows_.Start();
}

void Cluster::SetStageServices(std::vector<std::string> services) {
  members_.SetStageServices(std::move(services));
}

void Cluster::OnRows(const std::vector<DaemonState>& daemons) {
  Send(members_.OnRows(daemons));
}

void Cluster::AnnounceLeaving() {
  members_.Leave();
  BeatNow();
}

void Cluster::OnBeatTime() {
  const TimePoint now = loop_.Now();
  Watch(now);
  Send(members_.BeatTargets(now));
  beat_timer_ =
      loop_.After(members_.UntilNextRound(now), [this] { OnBeatTime(); });
}

void Cluster::BeatNow() {
  loop_.Cancel(beat_timer_);
  beat_timer_ = loop_.After(Duration{0}, [this] { OnBeatTime(); });
}

void Cluster::Send(const Membership::Targets& targets) {
  std::map<std::pair<Load, Duration>, kj::Array<kj::byte>> messages;
  for (const Membership::Peer* peer : targets) {
    const Load load =
        members_.TellsLoadTo(*peer) ? Load::kTold : Load::kLeftOut;
    const Duration next = members_.PeriodTo(*peer);
    kj::Array<kj::byte>& bytes = messages[{load, next}];
    if (bytes == nullptr) {
      bytes = BeatBytes(load, next);
    }
    datagrams_->Send(
        peer->state.address, peer->state.port,
        {reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size()});
  }
}

kj::Array<kj::byte> Cluster::BeatBytes(Load load, Duration next) {
  capnp::MallocMessageBuilder message;
  auto beat = message.initRoot<schema::Beat>();
  const DaemonState& own = members_.own();
  beat.setDaemon(own.name);
  beat.setIncarnation(own.incarnation);
  beat.setAddress(own.address);
  beat.setPort(own.port);
  beat.setDataCentre(own.data_centre);
  beat.setDraining(own.leaving);
  beat.setProcessorShare(static_cast<float>(own.processor_share));
  beat.setNextMs(static_cast<std::uint32_t>(WholeMilliseconds(next)));
  handler_.FillBeat(beat, load);
  members_.SetDuties(PoolsOf(beat.asReader()),
                     beat.asReader().getQuarantined().size() > 0);
  const auto lost = members_.RecentlyLost(loop_.Now());
  auto out = beat.initLost(static_cast<unsigned>(lost.size()));
  for (unsigned i = 0; i < lost.size(); ++i) {
    out[i].setName(lost[i]->state.name);
    out[i].setIncarnation(lost[i]->state.incarnation);
  }
  return Packed(message);
}

void Cluster::OnMessage(std::span<const std::byte> message) {
  const auto failed = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(message.data()), message.size()));
    capnp::PackedMessageReader reader(stream);
    OnBeat(reader.getRoot<schema::Beat>());
  });
  if (failed != nullptr) {
    LogEvent("beat_unreadable", LogLevel::kWarning);
  }
}

void Cluster::OnBeat(schema::Beat::Reader beat) {
  const std::string name = beat.getDaemon();
  if (name.empty() || members_.IsSelf(name)) {
    return;
  }
  const auto arrival = members_.OnBeat(loop_.Now(), StateOf(beat));
  const Membership::Peer& peer = *members_.Find(name);
  if (arrival != Membership::Arrival::kKnown) {
    OnArrival(peer);
  }
  // Work for a scheduler must find its link standing. Among few daemons each
  // may schedule; among many, those that do say so.
  if (members_.IsSmall() || !peer.state.pools.empty()) {
    calls_.Link(peer.state);
  }
  for (const auto lost : beat.getLost()) {
    OnLossTold(lost, name);
  }
  handler_.OnBeat(beat);
}

void Cluster::OnLossTold(schema::LostDaemon::Reader lost,
                         const std::string& told_by) {
  const std::string name = lost.getName();
  switch (members_.OnLossTold(loop_.Now(), name, lost.getIncarnation())) {
    case Membership::Loss::kOldNews:
      return;
    case Membership::Loss::kNews:
      LogEvent("peer_lost_elsewhere", LogLevel::kWarning)
          .Field("peer", name)
          .Field("told_by", told_by);
      OnGone(name);
      return;
    case Membership::Loss::kOfThisDaemon:
      LogEvent("loss_denied", LogLevel::kWarning).Field("told_by", told_by);
      BeatNow();
      return;
  }
}

void Cluster::OnArrival(const Membership::Peer& peer) {
  LogEvent("peer_up")
      .Field("peer", peer.state.name)
      .Field("incarnation", peer.state.incarnation);
  calls_.Unlink(peer.state.name);
  // It may have missed this daemon's last beat. Only it is told: telling all of
  // each newcomer costs the cube of their number when all start at once.
  if (members_.IsToldOf(peer)) {
    Send({&peer});
  }
}

void Cluster::Watch(TimePoint now) {
  for (const Membership::Lost& lost : members_.Watch(now)) {
    LogEvent("peer_down", LogLevel::kWarning)
        .Field("peer", lost.name)
        .Field("silent_ms", Milliseconds(lost.silent));
    OnGone(lost.name);
  }
}

void Cluster::OnUnreachable(const std::string& peer) {
  if (members_.OnUnreachable(peer)) {
    LogEvent("peer_unreachable", LogLevel::kWarning).Field("peer", peer);
    OnGone(peer);
  }
}

void Cluster::OnGone(const std::string& peer) {
  calls_.Unlink(peer);
  handler_.OnPeerGone(peer);
}

void Cluster::TellNews(News news) {
  news_ = std::max(news_, news);
  if (std::exchange(news_due_, true)) {
    return;
  }
  loop_.After(Duration{0}, [this] {
    news_due_ = false;
    SendNews(std::exchange(news_, News::kRumour));
  });
}

void Cluster::SendNews(News news) {
  switch (news) {
    case News::kRumour:
      Send(members_.RumourTargets());
      return;
    case News::kToDataCentre:
      Send(members_.DataCentre());
      return;
  }
}

void Cluster::FetchStoreCopy(std::uint64_t deployment_version,
                             std::uint64_t servers_version) {
  if (calls_.fetching()) {
    return;
  }
  const Membership::Peer* source =
      members_.SourceOf(deployment_version, servers_version);
  if (source == nullptr) {
    return;
  }
  calls_.FetchStoreCopy(
      source->state, deployment_version, servers_version,
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

void Cluster::ReleaseAt(std::string_view peer,
                        const PoolKey& pool,
                        std::span<const std::string> results) {
  calls_.Release(members_.Find(peer)->state, pool, results);
}

}  // namespace gentianroute::gateway
