#include "gentianroute/gateway/cluster.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/async.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/gateway/detail/cluster_messages.h"
#include "gentianroute/observe/log.h"
#include "gentianroute/routing/scheduler_rank.h"

namespace gentianroute::gateway {
namespace {

using detail::ReadGroup;
using detail::ReadOutcome;
using detail::WriteGroup;
using detail::WriteOutcome;

/// Beats of one daemon in a second, to all peers together: the period grows
/// with the peers, so that the cost of a daemon stays what it is.
constexpr std::int64_t kBeatsPerSecond = 90;
constexpr Duration kShortestPeriod = std::chrono::milliseconds(100);
/// Bytes between regions are billed by volume, so only one beat in this many
/// goes there; what it tells is 20 ms old on arrival in any case.
constexpr std::uint32_t kBeatsPerRegionBeat = 3;
/// A daemon that schedules nothing and knows of no request that crashes servers
/// has little to tell another region: that it lives, and what it has at servers
/// there, which is old on arrival.
constexpr std::uint32_t kQuietBeatsPerRegionBeat = 9;
/// Lost datagrams come two in a row now and then; four are a failure.
constexpr int kBeatsOfSilence = 4;
/// Daemons that start together write their rows within the first moments, and
/// read the others' a little later; after that only newcomers are missed, who
/// make themselves known by their own beats. So the rows are read again only
/// against the rare pair that missed each other; each reading is billed.
constexpr Duration kFirstLook = std::chrono::milliseconds(400);
constexpr Duration kRowPeriod = std::chrono::seconds(60);
/// Up to so many peers are linked to as soon as they are heard.
constexpr std::size_t kFewPeers = 16;
/// A large copy over a narrow link that others use too takes most of a second;
/// asked for again before it has come, it would take up the link twice.
constexpr Duration kCopyTimeout = std::chrono::milliseconds(1500);

bool IsQuiet(schema::Beat::Reader beat) {
  return beat.getBacklogs().size() == 0 && beat.getQuarantined().size() == 0;
}

std::uint32_t BeatsPerRegionBeat(bool quiet) {
  return quiet ? kQuietBeatsPerRegionBeat : kBeatsPerRegionBeat;
}

std::string RowOf(const GatewaySettings& settings) {
  return nlohmann::json{{"address", settings.peers.address},
                        {"port", settings.peers.port},
                        {"data_centre", settings.data_centre}}
      .dump();
}

struct IgnoreTaskErrors final : kj::TaskSet::ErrorHandler {
  void taskFailed(kj::Exception&& exception) override {
    LogEvent("peer_call_failed", LogLevel::kWarning)
        .Field("reason", exception.getDescription().cStr());
  }
};

}  // namespace

struct Cluster::Peer {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  TimePoint heard{};
  bool alive = false;
  bool leaving = false;
  bool quiet = false;  ///< tells other regions less often
  double processor_share = 0;
  StoreContact store = StoreContact::kNotAsked;
  std::uint64_t deployment_version = 0;
  std::uint64_t servers_version = 0;
  std::unique_ptr<RpcConnection> link;
  bool link_broken = false;
};

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
    std::unique_ptr<GroupHold> hold = cluster_.handler_.RunGroup(
        service, data_centre, ReadGroup(cluster_.loop_.Now(), group),
        [context, fulfiller](const GroupOutcome& outcome) mutable {
          WriteOutcome(outcome, context.getResults().initOutcome());
          (*fulfiller)->fulfill();
        });
    return done.promise.attach(
        kj::heap<std::unique_ptr<GroupHold>>(std::move(hold)));
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

/// A group that a peer runs. Letting go of it cancels the call.
class Cluster::RemoteGroup final : public GroupHold {
 public:
  using Done = std::function<void(std::optional<GroupOutcome>)>;

  explicit RemoteGroup(Done done) : done_(std::move(done)) {}
  ~RemoteGroup() noexcept override {
    canceler_.cancel("the request has ended");
  }

  template <typename T>
  kj::Promise<T> Wrap(kj::Promise<T> call) {
    return canceler_.wrap(kj::mv(call));
  }
  std::weak_ptr<RemoteGroup*> self() const { return self_; }
  void End(std::optional<GroupOutcome> outcome) {
    if (auto done = std::exchange(done_, nullptr)) {
      done(std::move(outcome));
    }
  }

 private:
  Done done_;
  kj::Canceler canceler_;
  /// Tells a callback that the group still exists.
  std::shared_ptr<RemoteGroup*> self_ = std::make_shared<RemoteGroup*>(this);
};

Cluster::Cluster(EventLoop& loop,
                 const GatewaySettings& settings,
                 Store& store,
                 ClusterHandler& handler)
    : loop_(loop),
      settings_(settings),
      store_(store),
      handler_(handler),
      incarnation_(static_cast<std::uint64_t>(loop.Wall())) {
  task_errors_ = std::make_unique<IgnoreTaskErrors>();
  tasks_ = std::make_unique<kj::TaskSet>(*task_errors_);
  datagrams_ = std::make_unique<DatagramSocket>(
      loop_, settings_.peers.address, settings_.peers.port,
      [this](std::span<const std::byte> message) { OnMessage(message); });
  server_ = std::make_unique<RpcServer>(loop_, settings_.peers.address,
                                        settings_.peers.port,
                                        kj::heap<Service>(*this));
}

Cluster::~Cluster() {
  loop_.Cancel(beat_timer_);
  loop_.Cancel(row_timer_);
}

void Cluster::Start() {
  SendBeats();
  // Daemons that start again have their rows there already, and know each other
  // after one reading.
  store_.Read(StoreTable::kDaemons, [this](const StoreAnswer& answer) {
    TakeDaemonRows(answer.rows);
  });
  row_timer_ = loop_.After(Duration{0}, [this] { Register(); });
}

void Cluster::AnnounceLeaving() {
  leaving_ = true;
  SendBeats();
}

void Cluster::Register() {
  store_.Put(StoreTable::kDaemons, settings_.name, RowOf(settings_),
             [this](const StoreAnswer& answer) {
               const bool written = answer.kind == StoreAnswer::Kind::kRows;
               row_timer_ = loop_.After(kFirstLook, [this, written] {
                 if (!written) {
                   Register();
                   return;
                 }
                 ReadDaemonRows();
               });
             });
}

void Cluster::ReadDaemonRows() {
  store_.Read(StoreTable::kDaemons,
              [this](const StoreAnswer& answer) { OnDaemonRows(answer.rows); });
}

void Cluster::TakeDaemonRows(const std::vector<StoredRow>& rows) {
  for (const StoredRow& row : rows) {
    OnDaemonRow(row);
  }
  TellNews(News::kToAll);
}

void Cluster::OnDaemonRows(const std::vector<StoredRow>& rows) {
  TakeDaemonRows(rows);
  row_timer_ = loop_.After(kRowPeriod, [this] { ReadDaemonRows(); });
}

void Cluster::OnDaemonRow(const StoredRow& row) {
  if (IsSelf(row.key)) {
    return;
  }
  const auto json = nlohmann::json::parse(row.value, nullptr, false);
  if (!json.is_object() || !json.contains("address") ||
      !json.contains("port") || !json["address"].is_string() ||
      !json["port"].is_number_unsigned()) {
    LogEvent("daemon_row_unreadable", LogLevel::kWarning)
        .Field("daemon", row.key);
    return;
  }
  Peer& peer = PeerNamed(row.key);
  if (peer.alive) {
    return;
  }
  peer.address = json["address"];
  peer.port = json["port"];
  peer.data_centre = json.value("data_centre", "");
}

Cluster::Peer& Cluster::PeerNamed(std::string_view name) {
  const auto found = peers_.find(name);
  if (found != peers_.end()) {
    return *found->second;
  }
  auto peer = std::make_unique<Peer>();
  peer->name = name;
  return *peers_.emplace(std::string(name), std::move(peer)).first->second;
}

Duration Cluster::BeatPeriod() const {
  const auto peers = static_cast<std::int64_t>(peers_.size());
  return std::max(kShortestPeriod,
                  Duration(std::chrono::seconds(1)) * peers / kBeatsPerSecond);
}

bool Cluster::IsInOwnRegion(const Peer& peer) const {
  const auto own = settings_.regions.find(settings_.data_centre);
  const auto other = settings_.regions.find(peer.data_centre);
  return peer.data_centre == settings_.data_centre ||
         (own != settings_.regions.end() && other != settings_.regions.end() &&
          own->second == other->second);
}

Duration Cluster::SilenceLimit(const Peer& peer) const {
  const auto beats = IsInOwnRegion(peer) ? 1 : BeatsPerRegionBeat(peer.quiet);
  return BeatPeriod() * kBeatsOfSilence * beats;
}

void Cluster::SendBeats() {
  const TimePoint now = loop_.Now();
  Watch(now);
  loop_.Cancel(beat_timer_);
  beat_timer_ = loop_.After(BeatPeriod(), [this] { SendBeats(); });
  if (peers_.empty()) {
    return;
  }
  capnp::MallocMessageBuilder message;
  auto beat = message.initRoot<schema::Beat>();
  beat.setDaemon(settings_.name);
  beat.setIncarnation(incarnation_);
  beat.setAddress(settings_.peers.address);
  beat.setPort(settings_.peers.port);
  beat.setDataCentre(settings_.data_centre);
  beat.setDraining(leaving_);
  beat.setProcessorShare(static_cast<float>(settings_.processor_share));
  handler_.FillBeat(beat);
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  const auto bytes = packed.getArray();
  const std::span<const std::byte> data(
      reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size());
  const auto told = beat.asReader();
  const bool to_all = std::exchange(news_to_all_, false) || leaving_ ||
                      beats_++ % BeatsPerRegionBeat(IsQuiet(told)) == 0;
  for (const auto& [name, peer] : peers_) {
    if (to_all || IsInOwnRegion(*peer)) {
      datagrams_->Send(peer->address, peer->port, data);
    }
  }
}

void Cluster::OnMessage(std::span<const std::byte> message) {
  const auto failed = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(message.data()), message.size()));
    capnp::PackedMessageReader reader(stream);
    const auto beat = reader.getRoot<schema::Beat>();
    const std::string name = beat.getDaemon();
    if (name.empty() || IsSelf(name)) {
      return;
    }
    Peer& peer = PeerNamed(name);
    const bool restarted = peer.incarnation != beat.getIncarnation();
    if (restarted) {
      peer.link.reset();
    }
    peer.incarnation = beat.getIncarnation();
    peer.address = beat.getAddress();
    peer.port = beat.getPort();
    peer.data_centre = beat.getDataCentre();
    peer.leaving = beat.getDraining();
    peer.processor_share = beat.getProcessorShare();
    peer.quiet = IsQuiet(beat);
    peer.store = static_cast<StoreContact>(std::min<unsigned>(
        beat.getStoreContact(), static_cast<unsigned>(StoreContact::kSilent)));
    peer.deployment_version = beat.getDeploymentVersion();
    peer.servers_version = beat.getServersVersion();
    peer.heard = loop_.Now();
    if (!std::exchange(peer.alive, true) || restarted) {
      LogEvent("peer_up")
          .Field("peer", name)
          .Field("incarnation", peer.incarnation);
      // It may have missed this daemon's last beat to its region.
      TellNews(IsInOwnRegion(peer) ? News::kNear : News::kToAll);
    }
    // Work for a scheduler must find its link standing. Among few daemons each
    // may schedule; among many, those that do say so.
    if (peers_.size() <= kFewPeers || beat.getBacklogs().size() > 0) {
      LinkTo(peer);
    }
    handler_.OnBeat(beat);
  });
  if (failed != nullptr) {
    LogEvent("beat_unreadable", LogLevel::kWarning);
  }
}

void Cluster::Watch(TimePoint now) {
  for (const auto& [name, peer] : peers_) {
    if (peer->alive && now - peer->heard > SilenceLimit(*peer)) {
      peer->alive = false;
      peer->link.reset();
      LogEvent("peer_down", LogLevel::kWarning)
          .Field("peer", name)
          .Field("silent_ms", Milliseconds(now - peer->heard));
      handler_.OnPeerGone(name);
    }
    if (std::exchange(peer->link_broken, false)) {
      peer->link.reset();
    }
  }
}

std::size_t Cluster::live_daemons() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [](const auto& entry) { return entry.second->alive; }));
}

std::string Cluster::SchedulerOf(std::string_view service,
                                 std::string_view data_centre) const {
  const std::string key = std::string(service) + "/" + std::string(data_centre);
  const auto rank = [&](std::string_view name, std::string_view place,
                        double processor_share) {
    return routing::SchedulerRank{place == data_centre, processor_share,
                                  RendezvousWeight(key, name)};
  };
  std::string best = settings_.name;
  // The same rounding as in the beats: all have to see equal shares as equal.
  auto best_rank = rank(settings_.name, settings_.data_centre,
                        static_cast<float>(settings_.processor_share));
  if (leaving_) {
    best_rank = {};
  }
  for (const auto& [name, peer] : peers_) {
    const auto peer_rank = rank(name, peer->data_centre, peer->processor_share);
    if (peer->alive && !peer->leaving && best_rank < peer_rank) {
      best = name;
      best_rank = peer_rank;
    }
  }
  return best;
}

RpcConnection* Cluster::LinkTo(Peer& peer) {
  if (peer.link != nullptr && !peer.link_broken) {
    return peer.link.get();
  }
  peer.link_broken = false;
  peer.link = std::make_unique<RpcConnection>(
      loop_, peer.address, peer.port, [&peer] { peer.link_broken = true; });
  return peer.link.get();
}

std::unique_ptr<GroupHold> Cluster::RunGroupAt(
    std::string_view peer_name,
    std::string_view service,
    std::string_view data_centre,
    const routing::StageGroup& group,
    std::function<void(std::optional<GroupOutcome>)> done) {
  Peer& peer = PeerNamed(peer_name);
  RpcConnection* link = LinkTo(peer);
  auto remote = std::make_unique<RemoteGroup>(std::move(done));
  const std::weak_ptr<RemoteGroup*> self = remote->self();
  auto request = link->bootstrap().castAs<schema::Cluster>().runGroupRequest();
  WriteGroup(loop_.Now(), service, data_centre, group, request.initGroup());
  kj::Promise<capnp::Response<schema::Cluster::RunGroupResults>> sent =
      request.send();
  // Only the call itself can be cancelled: what hears of its end may let go of
  // the group, and a promise must not be destroyed by its own callback.
  tasks_->add(remote->Wrap(kj::mv(sent))
                  .then(
                      [self](auto response) {
                        if (const auto alive = self.lock()) {
                          (*alive)->End(ReadOutcome(response.getOutcome()));
                        }
                      },
                      [self](kj::Exception&& /*exception*/) {
                        if (const auto alive = self.lock()) {
                          (*alive)->End(std::nullopt);
                        }
                      }));
  return remote;
}

void Cluster::ReleaseAt(std::string_view peer_name,
                        std::string_view service,
                        std::string_view data_centre,
                        std::span<const std::string> results) {
  RpcConnection* link = LinkTo(PeerNamed(peer_name));
  auto request = link->bootstrap().castAs<schema::Cluster>().releaseRequest();
  request.setService(std::string(service));
  request.setDataCentre(std::string(data_centre));
  auto out = request.initResults(static_cast<unsigned>(results.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out.set(i, results[i]);
  }
  // A lost release costs room for some seconds only; it is not repeated.
  tasks_->add(request.send().ignoreResult());
}

bool Cluster::IsStoreReader() const {
  constexpr std::string_view kKey = "store-reader";
  const std::uint64_t own = RendezvousWeight(kKey, settings_.name);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = *entry.second;
    return peer.alive && !peer.leaving &&
           peer.data_centre == settings_.data_centre &&
           peer.store != StoreContact::kSilent &&
           RendezvousWeight(kKey, peer.name) > own;
  });
}

void Cluster::TellNews(News news) {
  news_to_all_ = news_to_all_ || news == News::kToAll;
  if (std::exchange(news_due_, true)) {
    return;
  }
  loop_.After(Duration{0}, [this] {
    news_due_ = false;
    SendBeats();
  });
}

Cluster::Peer* Cluster::SourceOf(std::uint64_t deployment_version,
                                 std::uint64_t servers_version) const {
  Peer* source = nullptr;
  std::pair<int, std::uint64_t> best;
  for (const auto& [name, peer] : peers_) {
    const bool newer = peer->deployment_version > deployment_version ||
                       peer->servers_version > servers_version;
    if (!peer->alive || !newer) {
      continue;
    }
    const int nearness = peer->data_centre == settings_.data_centre ? 2
                         : IsInOwnRegion(*peer)                     ? 1
                                                                    : 0;
    // Of equally near ones each daemon takes another, so that all who have the
    // news hand it on, and not only the one that had it first.
    const std::pair rank(nearness, RendezvousWeight(settings_.name, name));
    if (source == nullptr || best < rank) {
      source = peer.get();
      best = rank;
    }
  }
  return source;
}

void Cluster::FetchStoreCopy(std::uint64_t deployment_version,
                             std::uint64_t servers_version) {
  if (fetching_) {
    return;
  }
  Peer* source = SourceOf(deployment_version, servers_version);
  if (source == nullptr) {
    return;
  }
  RpcConnection* link = LinkTo(*source);
  if (!link->connected()) {
    return;
  }
  auto request = link->bootstrap().castAs<schema::Cluster>().storeCopyRequest();
  request.setDeploymentVersion(deployment_version);
  request.setServersVersion(servers_version);
  auto timeout = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(timeout.fulfiller));
  loop_.After(kCopyTimeout, [fulfiller] { (*fulfiller)->fulfill(); });
  fetching_ = true;
  tasks_->add(
      request.send()
          .then([this](auto response) {
            handler_.OnStoreCopy(response.getCopy());
          })
          .exclusiveJoin(kj::mv(timeout.promise))
          .then([this] { fetching_ = false; },
                [this](kj::Exception&& /*broken*/) { fetching_ = false; }));
}

}  // namespace gentianroute::gateway
