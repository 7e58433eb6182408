#include "gentianroute/gateway/stream_origin_lookup.h"

#include <chrono>
#include <utility>

namespace gentianroute::gateway {
namespace {

/// A peer that doesn't answer by then is cut off, or has just failed. Longer
/// than any round trip between data centres.
constexpr Duration kMaxSearchTime = std::chrono::milliseconds(150);

}  // namespace

StreamOriginLookup::StreamOriginLookup(EventLoop& loop,
                                       Cluster& cluster,
                                       std::string_view stream,
                                       std::string_view service,
                                       const routing::OriginReport& own,
                                       Done done)
    : loop_(loop), done_(std::move(done)) {
  reports_.Add(own);
  const bool has_one_version =
      own.evidence == routing::OriginEvidence::kOneVersion;
  const Membership::Targets peers = cluster.members().StreamOriginSources(
      has_one_version ? Membership::OriginSearch::kSample
                      : Membership::OriginSearch::kAll);
  unanswered_ = peers.size();
  for (const Membership::Peer* peer : peers) {
    questions_.push_back(cluster.AskStreamOrigin(
        *peer, stream, service,
        [this](const std::optional<routing::OriginReport>& report) {
          OnReply(report);
        }));
  }
  timer_ = loop_.After(peers.empty() ? Duration{0} : kMaxSearchTime,
                       [this] { Finish(); });
}

StreamOriginLookup::~StreamOriginLookup() {
  loop_.Cancel(timer_);
}

void StreamOriginLookup::OnReply(
    const std::optional<routing::OriginReport>& report) {
  --unanswered_;
  if (report) {
    reports_.Add(*report);
  }
  if (reports_.is_certain() || unanswered_ == 0) {
    Finish();
  }
}

void StreamOriginLookup::Finish() {
  loop_.Cancel(timer_);
  if (const Done done = std::exchange(done_, nullptr)) {
    done(reports_.Origin());
  }
}

}  // namespace gentianroute::gateway
