#include "gentianroute/entry/peer_service.h"

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

using std::chrono::milliseconds;

/// Limits of the lists in a digest: with one exchange per second in each
/// direction, and extra rounds for 28,000 changes a day, each daemon's gossip
/// stays below 4 KB/s.
constexpr std::size_t kMaxHeavyInDigest = 6;
constexpr std::size_t kMaxQuarantinedInDigest = 8;
constexpr std::uint32_t kNeverRead = 0xffffffff;

std::uint32_t StoreAgeMs(Duration age) {
  const double milliseconds = Milliseconds(age);
  return milliseconds < kNeverRead ? static_cast<std::uint32_t>(milliseconds)
                                   : kNeverRead;
}

}  // namespace

PeerService::PeerService(EventLoop& loop,
                         const Dependencies& dependencies,
                         std::function<void()> on_config_changed,
                         HostsCallback on_hosts_received,
                         std::function<void()> request_advance)
    : loop_(loop),
      dependencies_(dependencies),
      on_config_changed_(std::move(on_config_changed)),
      on_hosts_received_(std::move(on_hosts_received)),
      request_advance_(std::move(request_advance)) {}

void PeerService::AnnounceLeaving() {
  bool added = false;
  for (const auto& [server, incarnation] : dependencies_.servers.leaving()) {
    added =
        dependencies_.leaving_server_gossip.Add({server, incarnation}) || added;
  }
  if (added) {
    links_->StartExtraRound();
  }
}

void PeerService::FillDigest(schema::Digest::Builder digest) {
  const TimePoint now = loop_.Now();
  const auto settings = dependencies_.settings;
  digest.setDaemon(settings.getName());
  digest.setDataCentre(settings.getDataCentre());
  digest.setIncarnation(dependencies_.incarnation);
  digest.setRevision(dependencies_.follower.revision());
  digest.setDraining(draining_);
  digest.setStoreAgeMs(StoreAgeMs(dependencies_.poll_schedule.Age(now)));
  const std::vector<UsageRecord> heavy =
      dependencies_.usage.Heaviest(now, kMaxHeavyInDigest);
  auto heavy_list = digest.initHeavy(static_cast<unsigned>(heavy.size()));
  for (unsigned i = 0; i < heavy_list.size(); ++i) {
    heavy_list[i].setOrganisation(heavy[i].name.organisation);
    heavy_list[i].setSubscriber(heavy[i].name.subscriber);
    heavy_list[i].setCost(heavy[i].cost);
  }
  const std::vector<LeavingServer> leaving_servers =
      dependencies_.leaving_server_gossip.SelectForDigest(now);
  auto leaving =
      digest.initLeaving(static_cast<unsigned>(leaving_servers.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) {
    leaving[i].setServer(leaving_servers[i].server);
    leaving[i].setIncarnation(leaving_servers[i].incarnation);
  }
  const auto quarantined = dependencies_.suspects.Quarantined(now);
  const std::size_t count =
      std::min(quarantined.size(), kMaxQuarantinedInDigest);
  auto quarantine_list = digest.initQuarantined(static_cast<unsigned>(count));
  for (unsigned i = 0; i < quarantine_list.size(); ++i) {
    // In rotation, so that peers receive all of them within a few rounds.
    const auto& [fingerprint, remaining] =
        quarantined[quarantine_offset_++ % quarantined.size()];
    quarantine_list[i].setFingerprint(fingerprint.value);
    quarantine_list[i].setRemainingMs(
        static_cast<std::uint32_t>(Milliseconds(remaining)));
  }
}

void PeerService::OnDigest(schema::Digest::Reader digest) {
  const TimePoint now = loop_.Now();
  std::vector<UsageRecord> heavy;
  for (const auto use : digest.getHeavy()) {
    heavy.push_back({{use.getOrganisation().cStr(), use.getSubscriber().cStr()},
                     use.getCost()});
  }
  const std::string peer = digest.getDaemon().cStr();
  dependencies_.usage.SetRemote(now, peer, heavy);
  dependencies_.peer_revisions.OnRevision(now, peer, digest.getRevision());
  for (const auto server : digest.getLeaving()) {
    dependencies_.servers.MarkLeaving(server.getServer().cStr(),
                                      server.getIncarnation());
  }
  AnnounceLeaving();
  for (const auto quarantine : digest.getQuarantined()) {
    dependencies_.suspects.OnPeerQuarantine(
        now, Fingerprint{quarantine.getFingerprint()},
        milliseconds(quarantine.getRemainingMs()));
  }
  if (digest.getStoreAgeMs() != kNeverRead) {
    dependencies_.poll_schedule.OnPeerReadAge(
        now, milliseconds(digest.getStoreAgeMs()));
  }
  dependencies_.follower.OnRevisionSeen(digest.getRevision());
  if (digest.getRevision() > dependencies_.follower.revision()) {
    links_->FetchRevisions(peer, dependencies_.follower.revision());
  }
  if (!knows_hosts_) {
    links_->FetchHosts(peer);
  }
}

void PeerService::SetHosts(const std::vector<HostRecord>& hosts) {
  hosts_ = hosts;
  knows_hosts_ = true;
}

void PeerService::OnHosts(const std::vector<HostRecord>& hosts) {
  // A daemon that starts during an outage of the platform would otherwise know
  // no servers and reject all requests. Only a daemon without a list accepts a
  // peer's, and the platform's list replaces it, so that peers can't bring back
  // an outdated list.
  if (!knows_hosts_ && !hosts.empty()) {
    on_hosts_received_(hosts);
  }
}

std::vector<ConfigRevision> PeerService::RevisionsAfter(std::uint64_t revision,
                                                        std::size_t limit) {
  return dependencies_.follower.After(revision, limit);
}

void PeerService::OnRevisions(const std::vector<ConfigRevision>& revisions) {
  if (dependencies_.follower.Apply(revisions)) {
    on_config_changed_();
  }
}

void PeerService::OnSnapshot(const ConfigSnapshot& snapshot) {
  if (dependencies_.follower.Apply(snapshot)) {
    on_config_changed_();
  }
}

void PeerService::OnJoin(std::string_view token,
                         std::function<void(JoinOutcome)> done) {
  const JoinId join = dependencies_.coordinator.Join(loop_.Now(), token);
  joins_[join] = std::move(done);
  request_advance_();
}

void PeerService::Answer(const AnswerJoin& answer) {
  const auto found = joins_.find(answer.join);
  if (found != joins_.end()) {
    const auto done = std::move(found->second);
    joins_.erase(found);
    done(answer.outcome);
  }
}

}  // namespace gentianroute
