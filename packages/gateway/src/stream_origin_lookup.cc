#include "gentianroute/gateway/stream_origin_lookup.h"

#include <chrono>
#include <utility>

#include "gentianroute/gateway/stream_registry.h"

namespace gentianroute::gateway {
namespace {

/// A peer that doesn't answer by then is cut off, or has just failed. Longer
/// than any round trip between data centres.
constexpr Duration kMaxSearchTime = std::chrono::milliseconds(150);
/// Time for a slow store to confirm. Callers wait for the next event of a
/// stream for two seconds at least, most of which the server needs.
constexpr Duration kMaxConfirmTime = std::chrono::seconds(1);
/// Peers that are asked at a time to confirm what they say by the store.
constexpr std::size_t kConfirmingPeers = 2;
/// Those that are asked at most, one pair after the other.
constexpr std::size_t kMaxConfirmingPeers = 6;

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
      [this, question](const std::optional<routing::OriginReport>& report) {
        const auto told = report.value_or(routing::OriginReport{});
        question == OriginQuestion::kConfirmed ? OnConfirmed(told)
                                               : OnReply(told);
      }));
}

void StreamOriginLookup::AskStore() {
  for (const Membership::Peer* reader :
       cluster_.members().StoreReaders(loop_.Now())) {
    if (readers_.size() < kMaxConfirmingPeers) {
      readers_.push_back(reader->state.name);
    }
  }
  if (registry_.follows_store() || !AskNextReaders()) {
    AskStoreItself();
  }
}

void StreamOriginLookup::AskStoreItself() {
  ++unanswered_;
  ++unconfirmed_;
  confirmation_ = registry_.ReportConfirmed(
      stream_, service_,
      [this](const routing::OriginReport& report) { OnConfirmed(report); });
}

bool StreamOriginLookup::AskNextReaders() {
  while (unconfirmed_ < kConfirmingPeers && !readers_.empty()) {
    const Membership::Peer* reader = cluster_.members().Find(readers_.front());
    readers_.pop_front();
    if (reader != nullptr) {
      ++unconfirmed_;
      Ask(*reader, OriginQuestion::kConfirmed);
    }
  }
  return unconfirmed_ > 0;
}

void StreamOriginLookup::OnConfirmed(const routing::OriginReport& report) {
  reports_.Add(report);
  const bool is_open =
      --unconfirmed_ == 0 && !reports_.is_confirmed() && MayBeOneVersion();
  if (is_open && !AskNextReaders() && confirmation_ == nullptr) {
    AskStoreItself();
  }
  FinishIfEnough();
}

bool StreamOriginLookup::MayBeOneVersion() const {
  return reports_.evidence() < routing::OriginEvidence::kSeveralVersions;
}

void StreamOriginLookup::OnReply(const routing::OriginReport& report) {
  reports_.Add(report);
  FinishIfEnough();
}

void StreamOriginLookup::FinishIfEnough() {
  --unanswered_;
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
