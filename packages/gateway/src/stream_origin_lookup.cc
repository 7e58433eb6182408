#include "gentianroute/gateway/stream_origin_lookup.h"

#include <chrono>
#include <utility>

#include "gentianroute/gateway/stream_registry.h"

namespace gentianroute::gateway {
namespace {

/// A peer that doesn't answer by then is cut off, or has just failed. Longer
/// than any round trip between data centres.
constexpr Duration kMaxSearchTime = std::chrono::milliseconds(150);
/// Time for a slow store to confirm. A caller that waits for longer is better
/// off with a refusal, after which it asks another daemon.
constexpr Duration kMaxConfirmTime = std::chrono::milliseconds(500);
/// Peers that are asked to confirm what they say by the store.
constexpr std::size_t kConfirmingPeers = 2;

}  // namespace

StreamOriginLookup::StreamOriginLookup(EventLoop& loop,
                                       Cluster& cluster,
                                       StreamRegistry& registry,
                                       std::string_view stream,
                                       std::string_view service,
                                       Done done)
    : loop_(loop),
      cluster_(cluster),
      registry_(registry),
      stream_(stream),
      service_(service),
      started_at_(loop.Now()),
      done_(std::move(done)) {
  AskPeers();
  if (MayBeOneVersion()) {
    AskStore();
  }
  timer_ = loop_.After(unanswered_ == 0 ? Duration{0} : kMaxSearchTime,
                       [this] { OnPeersOverdue(); });
}

StreamOriginLookup::~StreamOriginLookup() {
  loop_.Cancel(timer_);
}

void StreamOriginLookup::AskPeers() {
  const routing::OriginReport own = registry_.ReportOn(stream_, service_);
  reports_.Add(own);
  const bool has_one_version =
      own.evidence == routing::OriginEvidence::kOneVersion;
  const Membership::Targets peers = cluster_.members().StreamOriginSources(
      has_one_version ? Membership::OriginSearch::kSample
                      : Membership::OriginSearch::kAll);
  for (const Membership::Peer* peer : peers) {
    Ask(*peer, OriginQuestion::kPlain);
  }
}

void StreamOriginLookup::Ask(const Membership::Peer& peer,
                             OriginQuestion question) {
  ++unanswered_;
  questions_.push_back(cluster_.AskStreamOrigin(
      peer, stream_, service_, question,
      [this](const std::optional<routing::OriginReport>& report) {
        OnReply(report.value_or(routing::OriginReport{}));
      }));
}

void StreamOriginLookup::AskStore() {
  if (!registry_.follows_store() && AskStoreReaders()) {
    return;
  }
  ++unanswered_;
  confirmation_ = registry_.ReportConfirmed(
      stream_, service_,
      [this](const routing::OriginReport& report) { OnConfirmed(report); });
}

bool StreamOriginLookup::AskStoreReaders() {
  const Membership::Targets readers =
      cluster_.members().StoreReaders(loop_.Now(), kConfirmingPeers);
  for (const Membership::Peer* reader : readers) {
    Ask(*reader, OriginQuestion::kConfirmed);
  }
  return !readers.empty();
}

void StreamOriginLookup::OnConfirmed(const routing::OriginReport& report) {
  reports_.Add(report);
  if (!report.serving && MayBeOneVersion() && registry_.follows_store()) {
    AskStoreReaders();
  }
  OnReply(report);
}

bool StreamOriginLookup::MayBeOneVersion() const {
  return reports_.evidence() < routing::OriginEvidence::kSeveralVersions;
}

void StreamOriginLookup::OnReply(const routing::OriginReport& report) {
  --unanswered_;
  reports_.Add(report);
  const bool is_enough =
      peers_overdue_ && (reports_.Origin() || !MayBeOneVersion());
  if (reports_.is_certain() || unanswered_ == 0 || is_enough) {
    Finish();
  }
}

void StreamOriginLookup::OnPeersOverdue() {
  peers_overdue_ = true;
  if (reports_.Origin() || !MayBeOneVersion()) {
    Finish();
    return;
  }
  timer_ = loop_.After(kMaxConfirmTime - kMaxSearchTime, [this] { Finish(); });
}

void StreamOriginLookup::Finish() {
  loop_.Cancel(timer_);
  // A peer may have told the origin meanwhile.
  reports_.Add(registry_.ReportOn(stream_, service_));
  OriginFinding finding;
  finding.origin = reports_.Origin();
  finding.evidence = reports_.evidence();
  finding.is_confirmed = reports_.is_confirmed();
  finding.asked = questions_.size();
  finding.unanswered = unanswered_;
  finding.taken = loop_.Now() - started_at_;
  if (const Done done = std::exchange(done_, nullptr)) {
    done(finding);
  }
}

}  // namespace gentianroute::gateway
