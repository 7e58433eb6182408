#include "gentianroute/entry/peer_links.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

#include "gentianroute/observe/log.h"
#include "gentianroute/schema/rows.h"

namespace gentianroute {
namespace {

// Default of ConfigFollower::Options::max_kept_revisions.
constexpr std::uint32_t kRevisionsPerCall = 256;
constexpr Duration kConnectPollInterval = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxConnectPolls = 20;
constexpr std::uint64_t kMaxIdleRounds = 16;
/// A peer that ended refuses connections, so that all attempts fail at once.
constexpr std::uint32_t kMaxQueryAttempts = 4;
constexpr Duration kQueryRetryDelay = std::chrono::milliseconds(30);

void WriteOutcome(const JoinOutcome& outcome,
                  schema::Outcome::Builder builder) {
  builder.setKnown(outcome.state == JoinState::kFinished);
  builder.setAbandoned(outcome.state == JoinState::kAbandoned);
  builder.setBody(outcome.body);
  builder.setKind(outcome.error.has_value()
                      ? static_cast<std::uint16_t>(*outcome.error)
                      : 0);
}

JoinOutcome ReadOutcome(schema::Outcome::Reader reader) {
  JoinOutcome outcome;
  if (reader.getKnown()) {
    outcome.state = JoinState::kFinished;
  } else if (reader.getAbandoned()) {
    outcome.state = JoinState::kAbandoned;
  }
  outcome.error = ErrorKindFromNumber(reader.getKind());
  outcome.body = reader.getBody().cStr();
  return outcome;
}

void WriteHost(const HostRecord& host, schema::Host::Builder builder) {
  builder.setName(host.name);
  builder.setAddress(host.address);
  builder.setPort(host.port);
  builder.setPool(host.pool);
  builder.setDataCentre(host.data_centre);
  builder.setRegion(host.region);
  builder.setIncarnation(host.incarnation);
  builder.setSlots(host.slots);
  builder.setLeaving(host.leaving);
}

HostRecord ReadHost(schema::Host::Reader reader) {
  HostRecord host;
  host.name = reader.getName().cStr();
  host.address = reader.getAddress().cStr();
  host.port = reader.getPort();
  host.pool = reader.getPool().cStr();
  host.data_centre = reader.getDataCentre().cStr();
  host.region = reader.getRegion().cStr();
  host.incarnation = reader.getIncarnation();
  host.slots = reader.getSlots();
  host.leaving = reader.getLeaving();
  return host;
}

}  // namespace

/// RPC interface that each connected peer receives.
class PeerLinks::Service final : public schema::Peer::Server {
 public:
  explicit Service(PeerHandler& handler) : handler_(handler) {}

 protected:
  kj::Promise<void> exchange(ExchangeContext context) override {
    handler_.FillDigest(context.getResults().initYours());
    handler_.OnDigest(context.getParams().getMine());
    return kj::READY_NOW;
  }

  kj::Promise<void> revisions(RevisionsContext context) override {
    const auto params = context.getParams();
    const std::vector<ConfigRevision> found =
        handler_.RevisionsAfter(params.getAfter(), params.getLimit());
    auto list =
        context.getResults().initRevisions(static_cast<unsigned>(found.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      WriteRevision(found[i], list[i]);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> snapshot(SnapshotContext context) override {
    WriteSnapshot(handler_.Snapshot(), context.getResults().initSnapshot());
    return kj::READY_NOW;
  }

  kj::Promise<void> hosts(HostsContext context) override {
    const std::span<const HostRecord> hosts = handler_.Hosts();
    auto list =
        context.getResults().initHosts(static_cast<unsigned>(hosts.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      WriteHost(hosts[i], list[i]);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> join(JoinContext context) override {
    struct Pending {
      JoinOutcome outcome;
      kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };
    auto answer = kj::newPromiseAndFulfiller<void>();
    auto pending = std::make_shared<Pending>();
    pending->fulfiller = kj::mv(answer.fulfiller);
    handler_.OnJoin(context.getParams().getToken().cStr(),
                    [pending](JoinOutcome outcome) {
                      pending->outcome = std::move(outcome);
                      pending->fulfiller->fulfill();
                    });
    return answer.promise.then([context, pending]() mutable {
      WriteOutcome(pending->outcome, context.getResults().initOutcome());
    });
  }

 private:
  PeerHandler& handler_;
};

struct PeerLinks::Link {
  Link(EventLoop& loop,
       const PeerAddress& peer,
       std::function<void()> on_broken)
      : address(peer),
        connection(loop, peer.address, peer.port, std::move(on_broken)) {}
  PeerAddress address;
  RpcConnection connection;
  bool exchanging = false;
  std::uint64_t last_used_round = 0;
};

struct PeerLinks::Tasks final : private kj::TaskSet::ErrorHandler {
  Tasks() : set(*this) {}
  kj::TaskSet set;

 private:
  void taskFailed(kj::Exception&& /*exception*/) override {}
};

PeerLinks::PeerLinks(EventLoop& loop, Options options, PeerHandler& handler)
    : loop_(loop),
      options_(std::move(options)),
      handler_(handler),
      rng_(options_.seed),
      tasks_(std::make_unique<Tasks>()) {
  server_ = std::make_unique<RpcServer>(loop, options_.address, options_.port,
                                        kj::heap<Service>(handler));
}

PeerLinks::~PeerLinks() = default;

std::uint16_t PeerLinks::port() const {
  return server_->port();
}

void PeerLinks::SetPeers(std::vector<PeerAddress> peers) {
  std::erase_if(peers, [this](const PeerAddress& peer) {
    return peer.name == options_.name;
  });
  peers_ = std::move(peers);
}

const PeerAddress* PeerLinks::FindPeer(std::string_view name) const {
  const auto found = std::ranges::find(peers_, name, &PeerAddress::name);
  return found == peers_.end() ? nullptr : &*found;
}

PeerLinks::Link* PeerLinks::GetOrCreateLink(const PeerAddress& peer) {
  std::unique_ptr<Link>& link = links_[peer.name];
  const bool address_changed =
      link != nullptr && (link->address.port != peer.port ||
                          link->address.address != peer.address);
  if (link == nullptr || address_changed) {
    link = std::make_unique<Link>(loop_, peer,
                                  [this, name = peer.name] { DropLink(name); });
  }
  link->last_used_round = round_;
  return link.get();
}

void PeerLinks::WhenConnected(const std::string& peer,
                              std::uint32_t polls_left,
                              const std::function<void(Link&)>& done) {
  const auto found = links_.find(peer);
  if (found == links_.end()) {
    return;
  }
  if (found->second->connection.connected()) {
    done(*found->second);
    return;
  }
  if (polls_left == 0) {
    DropLink(peer);
    return;
  }
  loop_.After(kConnectPollInterval, [this, peer, polls_left, done] {
    WhenConnected(peer, polls_left - 1, done);
  });
}

void PeerLinks::DropIdleLinks() {
  // Each round selects other peers. If links were never dropped, every daemon
  // would end up connected to every other one, and the number of connections
  // would grow with the square of the number of daemons.
  std::vector<std::string> idle;
  for (const auto& [name, link] : links_) {
    if (link->last_used_round + kMaxIdleRounds < round_) {
      idle.push_back(name);
    }
  }
  for (const std::string& name : idle) {
    DropLink(name);
  }
}

void PeerLinks::DropLink(const std::string& peer) {
  // May be called from a callback of the link, so the link is destroyed later,
  // from the event loop.
  const auto found = links_.find(peer);
  if (found == links_.end()) {
    return;
  }
  std::shared_ptr<Link> removed = std::move(found->second);
  links_.erase(found);
  loop_.After(Duration{0}, [removed] {});
}

kj::Promise<void> PeerLinks::AddTimeout(kj::Promise<void> call,
                                        const std::string& peer,
                                        Duration timeout) {
  auto timed_out = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(timed_out.fulfiller));
  const TimerId timer = loop_.After(timeout, [fulfiller] {
    (*fulfiller)->reject(KJ_EXCEPTION(DISCONNECTED, "no answer in time"));
  });
  return call.exclusiveJoin(kj::mv(timed_out.promise))
      .then([this, timer] { loop_.Cancel(timer); },
            [this, timer, peer](kj::Exception&& exception) {
              loop_.Cancel(timer);
              // The next round with this peer creates a new link.
              DropLink(peer);
              kj::throwRecoverableException(kj::mv(exception));
            });
}

void PeerLinks::Gossip() {
  ++round_;
  extra_rounds_left_ = options_.max_extra_rounds;
  DropIdleLinks();
  StartRound(options_.fanout);
}

void PeerLinks::StartExtraRound() {
  if (extra_rounds_left_ > 0) {
    --extra_rounds_left_;
    StartRound(options_.extra_round_fanout);
  }
}

void PeerLinks::StartRound(std::size_t fanout) {
  std::vector<PeerAddress> chosen;
  std::ranges::sample(peers_, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(fanout), rng_);
  for (const PeerAddress& peer : chosen) {
    StartExchange(peer);
  }
}

void PeerLinks::StartExchange(const PeerAddress& peer) {
  Link* link = GetOrCreateLink(peer);
  if (link->exchanging) {
    return;
  }
  link->exchanging = true;
  WhenConnected(peer.name, kMaxConnectPolls,
                [this](Link& ready) { SendDigest(ready); });
}

void PeerLinks::SendDigest(Link& link) {
  auto request =
      link.connection.bootstrap().castAs<schema::Peer>().exchangeRequest();
  handler_.FillDigest(request.initMine());
  const std::string peer = link.address.name;
  auto call = request.send().then(
      [this, peer](capnp::Response<schema::Peer::ExchangeResults>&& response) {
        const auto found = links_.find(peer);
        if (found != links_.end()) {
          found->second->exchanging = false;
        }
        handler_.OnDigest(response.getYours());
      });
  tasks_->set.add(AddTimeout(kj::mv(call), peer, options_.call_timeout));
}

void PeerLinks::FetchRevisions(const std::string& peer, std::uint64_t after) {
  const PeerAddress* address = FindPeer(peer);
  if (address == nullptr) {
    return;
  }
  GetOrCreateLink(*address);
  WhenConnected(peer, kMaxConnectPolls,
                [this, after](Link& ready) { RequestRevisions(ready, after); });
}

void PeerLinks::RequestRevisions(Link& link, std::uint64_t after) {
  auto request =
      link.connection.bootstrap().castAs<schema::Peer>().revisionsRequest();
  request.setAfter(after);
  request.setLimit(kRevisionsPerCall);
  const std::string peer = link.address.name;
  auto call = request.send().then(
      [this, peer](capnp::Response<schema::Peer::RevisionsResults>&& response) {
        std::vector<ConfigRevision> revisions;
        for (const auto revision : response.getRevisions()) {
          revisions.push_back(ReadRevision(revision));
        }
        const auto found = links_.find(peer);
        if (revisions.empty() && found != links_.end()) {
          RequestSnapshot(*found->second);
          return;
        }
        handler_.OnRevisions(revisions);
      });
  tasks_->set.add(AddTimeout(kj::mv(call), peer, options_.call_timeout));
}

void PeerLinks::RequestSnapshot(Link& link) {
  auto request =
      link.connection.bootstrap().castAs<schema::Peer>().snapshotRequest();
  auto call = request.send().then(
      [this](capnp::Response<schema::Peer::SnapshotResults>&& response) {
        handler_.OnSnapshot(ReadSnapshot(response.getSnapshot()));
      });
  tasks_->set.add(
      AddTimeout(kj::mv(call), link.address.name, options_.call_timeout));
}

void PeerLinks::FetchHosts(const std::string& peer) {
  const PeerAddress* address = FindPeer(peer);
  if (address == nullptr) {
    return;
  }
  GetOrCreateLink(*address);
  WhenConnected(peer, kMaxConnectPolls,
                [this](Link& ready) { RequestHosts(ready); });
}

void PeerLinks::RequestHosts(Link& link) {
  auto request =
      link.connection.bootstrap().castAs<schema::Peer>().hostsRequest();
  auto call = request.send().then(
      [this](capnp::Response<schema::Peer::HostsResults>&& response) {
        std::vector<HostRecord> hosts;
        for (const auto host : response.getHosts()) {
          hosts.push_back(ReadHost(host));
        }
        handler_.OnHosts(hosts);
      });
  tasks_->set.add(
      AddTimeout(kj::mv(call), link.address.name, options_.call_timeout));
}

void PeerLinks::QueryOutcome(std::string_view daemon,
                             const Claim& claim,
                             Duration timeout,
                             std::function<void(JoinOutcome)> done) {
  SendOutcomeQuery(
      std::make_shared<OutcomeQuery>(OutcomeQuery{
          std::string(daemon), claim, loop_.Now() + timeout, std::move(done)}),
      kMaxQueryAttempts);
}

void PeerLinks::SendOutcomeQuery(const std::shared_ptr<OutcomeQuery>& query,
                                 std::uint32_t attempts_left) {
  const PeerAddress* peer = FindPeer(query->daemon);
  const Duration time_left = query->deadline - loop_.Now();
  if (peer == nullptr || attempts_left == 0 || time_left <= Duration{0}) {
    query->done({});
    return;
  }
  Link* link = GetOrCreateLink(*peer);
  // A query sent while the link is being established is queued.
  auto request =
      link->connection.bootstrap().castAs<schema::Peer>().joinRequest();
  request.setOrganisation(query->claim.organisation);
  request.setKey(query->claim.key);
  request.setToken(query->claim.token);
  auto call = request.send().then(
      [query](capnp::Response<schema::Peer::JoinResults>&& response) {
        query->done(ReadOutcome(response.getOutcome()));
      });
  // A link also breaks when another call on it times out or when this daemon
  // itself was stopped, neither of which means that the peer has ended.
  tasks_->set.add(
      AddTimeout(kj::mv(call), peer->name, time_left)
          .catch_([this, query, attempts_left](kj::Exception&& /*exception*/) {
            loop_.After(kQueryRetryDelay, [this, query, attempts_left] {
              SendOutcomeQuery(query, attempts_left - 1);
            });
          }));
}

void PeerLinks::Stop() {
  server_->StopAccepting();
}

}  // namespace gentianroute
