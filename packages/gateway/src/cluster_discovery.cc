#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/detail/reader_delay.h"
#include "gentianroute/observe/log.h"

// How a daemon learns of the others when it starts, from the store and from its
// neighbours.

namespace gentianroute::gateway {
namespace {

/// Time in which all daemons have written their rows when the whole fleet
/// starts for the first time.
constexpr Duration kFirstWritesTime = std::chrono::milliseconds(1000);
/// Time until the first repetition, which doubles up to the maximum: a data
/// centre may have few daemons, or its rows can't be read.
constexpr Duration kRepeatedReadDelay = std::chrono::seconds(3);
constexpr Duration kMaxRepeatedReadDelay = std::chrono::minutes(5);

}  // namespace

void Cluster::OnRows(std::string_view data_centre,
                     const std::vector<DaemonState>& daemons) {
  Send(members_.OnListed(ListRows(daemons)));
  if (data_centre != members_.own().data_centre) {
    SendUpdate(UpdateScope::kForward);
    return;
  }
  if (std::exchange(neighbours_listed_, true)) {
    return;
  }
  const std::size_t rank = members_.StoreReaderRank();
  handler_.OnNeighboursListed(rank);
  const Duration delay = (first_start_ ? kFirstWritesTime : Duration{0}) +
                         detail::kOtherRowsDelay.For(rank);
  list_timer_ =
      loop_.After(delay, [this] { ReadOtherDataCentres(kRepeatedReadDelay); });
}

void Cluster::ReadOtherDataCentres(Duration repeat_after) {
  for (const std::string& data_centre : members_.UnlistedDataCentres()) {
    rows_.ReadOther(data_centre);
  }
  // A call may fail, and a neighbour may list the others meanwhile.
  const Duration next = std::min(repeat_after * 2, kMaxRepeatedReadDelay);
  list_timer_ =
      loop_.After(repeat_after, [this, next] { ReadOtherDataCentres(next); });
}

void Cluster::FetchDaemonList(const Membership::Peer& peer) {
  list_fetches_.OnFetch(loop_.Now());
  calls_.FetchDaemonList(peer.state,
                         [this](const std::vector<ListedDaemon>& daemons) {
                           OnDaemonList(daemons);
                         });
}

void Cluster::FetchListIfLonger(const Membership::Peer& peer) {
  const auto wait = list_fetches_.UntilFetchFrom(loop_.Now(), peer);
  if (!wait) {
    return;
  }
  loop_.Cancel(list_fetch_timer_);
  list_fetch_timer_ = loop_.After(*wait, [this, name = peer.state.name] {
    const Membership::Peer* source = members_.Find(name);
    if (members_.KnowsMore(*source)) {
      FetchDaemonList(*source);
    }
  });
}

void Cluster::FetchListIfOutOfContact() {
  if (!list_fetches_.IsContactFetchDue(loop_.Now())) {
    return;
  }
  if (const Membership::Peer* neighbour = members_.RandomNeighbour()) {
    FetchDaemonList(*neighbour);
  }
}

void Cluster::OnDaemonList(std::span<const ListedDaemon> daemons) {
  const std::size_t before = members_.known_daemons();
  Send(members_.OnListed(daemons));
  LogEvent("daemons_listed")
      .Field("daemons", daemons.size())
      .Field("new", members_.known_daemons() - before);
  if (list_fetches_.OnListed(before)) {
    SendUpdate(UpdateScope::kForward);
  }
}

}  // namespace gentianroute::gateway
