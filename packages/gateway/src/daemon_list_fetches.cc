#include "gentianroute/gateway/daemon_list_fetches.h"

#include <algorithm>

namespace gentianroute::gateway {
namespace {

constexpr Duration kMaxContactInterval = std::chrono::seconds(60);
/// Neighbours are told at once that this daemon has learnt of more than this
/// part of those that it knew. Regular heartbeats tell them of fewer.
constexpr std::size_t kToldGrowthDivisor = 8;

}  // namespace

std::optional<Duration> DaemonListFetches::UntilFetchFrom(
    TimePoint now,
    const Membership::Peer& peer) const {
  if (!members_.KnowsMore(peer)) {
    return std::nullopt;
  }
  return std::max(Duration{0}, kMinInterval - (now - last_fetch_));
}

bool DaemonListFetches::IsContactFetchDue(TimePoint now) const {
  return now - last_fetch_ >= contact_interval_ && members_.LacksContact();
}

void DaemonListFetches::OnFetch(TimePoint now) {
  last_fetch_ = now;
  contact_interval_ = std::min(contact_interval_ * 2, kMaxContactInterval);
}

bool DaemonListFetches::OnListed(std::size_t known_before) {
  const std::size_t added = members_.known_daemons() - known_before;
  if (added > 0) {
    contact_interval_ = kMinInterval;
  }
  return added > known_before / kToldGrowthDivisor;
}

}  // namespace gentianroute::gateway
