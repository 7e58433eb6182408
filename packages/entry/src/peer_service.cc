#include "gentianroute/entry/peer_service.h"

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

using std::chrono::milliseconds;

/// Bounds of a digest: at one exchange a second each way, and the rumours of
/// 28,000 changes a day, gossip stays under 4 KB/s for each daemon.
constexpr std::size_t kHeavyInDigest = 6;
constexpr std::size_t kQuarantinedInDigest = 8;
constexpr std::uint32_t kNeverRead = 0xffffffff;

std::uint32_t StoreAgeMs(Duration age) {
  const double milliseconds = Milliseconds(age);
  return milliseconds < kNeverRead ? static_cast<std::uint32_t>(milliseconds)
                                   : kNeverRead;
}

}  // namespace

PeerService::PeerService(EventLoop& loop,
                         const Parts& parts,
                         std::function<void()> changed,
                         HostsHeard hosts_heard,
                         std::function<void()> touch)
    : loop_(loop),
      parts_(parts),
      changed_(std::move(changed)),
      hosts_heard_(std::move(hosts_heard)),
      touch_(std::move(touch)) {}

void PeerService::NoteLeaving() {
  bool added = false;
  for (const auto& [server, incarnation] : parts_.servers.leaving()) {
    added = parts_.leaving_news.Add({server, incarnation}) || added;
  }
  if (added) {
    links_->Rumour();
  }
}

void PeerService::FillDigest(schema::Digest::Builder digest) {
  const TimePoint now = loop_.Now();
  const auto settings = parts_.settings;
  digest.setDaemon(settings.getName());
  digest.setDataCentre(settings.getDataCentre());
  digest.setIncarnation(parts_.incarnation);
  digest.setRevision(parts_.follower.revision());
  digest.setDraining(draining_);
  digest.setStoreAgeMs(StoreAgeMs(parts_.poll_schedule.Age(now)));
  const std::vector<UsageRecord> heavy =
      parts_.usage.Heaviest(now, kHeavyInDigest);
  auto heavy_list = digest.initHeavy(static_cast<unsigned>(heavy.size()));
  for (unsigned i = 0; i < heavy_list.size(); ++i) {
    heavy_list[i].setOrganisation(heavy[i].name.organisation);
    heavy_list[i].setSubscriber(heavy[i].name.subscriber);
    heavy_list[i].setCost(heavy[i].cost);
  }
  const std::vector<LeavingServer> news =
      parts_.leaving_news.SelectForDigest(now);
  auto leaving = digest.initLeaving(static_cast<unsigned>(news.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) {
    leaving[i].setServer(news[i].server);
    leaving[i].setIncarnation(news[i].incarnation);
  }
  const auto quarantined = parts_.suspects.Quarantined(now);
  const std::size_t count = std::min(quarantined.size(), kQuarantinedInDigest);
  auto quarantine_list = digest.initQuarantined(static_cast<unsigned>(count));
  for (unsigned i = 0; i < quarantine_list.size(); ++i) {
    // In turn, so that peers hear of all in a few rounds.
    const auto& [fingerprint, remaining] =
        quarantined[quarantine_turn_++ % quarantined.size()];
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
  parts_.usage.SetRemote(now, peer, heavy);
  parts_.peer_revisions.Heard(now, peer, digest.getRevision());
  for (const auto server : digest.getLeaving()) {
    parts_.servers.MarkLeaving(server.getServer().cStr(),
                               server.getIncarnation());
  }
  NoteLeaving();
  for (const auto quarantine : digest.getQuarantined()) {
    parts_.suspects.OnPeerQuarantine(now,
                                     Fingerprint{quarantine.getFingerprint()},
                                     milliseconds(quarantine.getRemainingMs()));
  }
  if (digest.getStoreAgeMs() != kNeverRead) {
    parts_.poll_schedule.OnPeerReadAge(now,
                                       milliseconds(digest.getStoreAgeMs()));
  }
  parts_.follower.OnRevisionSeen(digest.getRevision());
  if (digest.getRevision() > parts_.follower.revision()) {
    links_->FetchRevisions(peer, parts_.follower.revision());
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
  // A host that starts while the platform is out would refuse every request
  // for want of servers, though its peers know them. Only a daemon without a
  // list takes one from a peer, and the platform's replaces it, so that an old
  // list can't come back by way of peers.
  if (!knows_hosts_ && !hosts.empty()) {
    hosts_heard_(hosts);
  }
}

std::vector<ConfigRevision> PeerService::RevisionsAfter(std::uint64_t revision,
                                                        std::size_t limit) {
  return parts_.follower.After(revision, limit);
}

void PeerService::OnRevisions(const std::vector<ConfigRevision>& revisions) {
  if (parts_.follower.Apply(revisions)) {
    changed_();
  }
}

void PeerService::OnSnapshot(const ConfigSnapshot& snapshot) {
  if (parts_.follower.Apply(snapshot)) {
    changed_();
  }
}

void PeerService::OnJoin(std::string_view token,
                         std::function<void(JoinOutcome)> done) {
  const JoinId join = parts_.coordinator.Join(loop_.Now(), token);
  joins_[join] = std::move(done);
  touch_();
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
