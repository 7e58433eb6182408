#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/observe/log.h"

// How a daemon learns of the others when it starts, from the store and from its
// neighbours.

namespace gentianroute::gateway {
namespace {

/// Time after which a daemon that is not among the first readers reads the rows
/// of other data centres too, unless a neighbour has listed them. Grows with
/// its rank.
constexpr Duration kOtherRowsDelay = std::chrono::milliseconds(500);
constexpr Duration kOtherRowsDelayStep = std::chrono::milliseconds(100);
/// Time in which all daemons have written their rows when the whole fleet
/// starts for the first time.
constexpr Duration kFirstWritesTime = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxDelaySteps = 30;
/// Time until the first repetition, which doubles up to the maximum: a data
/// centre may have few daemons, or its rows can't be read.
constexpr Duration kRepeatedReadDelay = std::chrono::seconds(3);
constexpr Duration kMaxRepeatedReadDelay = std::chrono::minutes(5);
/// Neighbours are told at once that this daemon has learnt of more than this
/// part of those that it knew. Regular heartbeats tell them of fewer.
constexpr std::size_t kToldGrowthDivisor = 8;
/// Without contact to another data centre, lists are fetched ever more rarely:
/// it may be lost for long.
constexpr Duration kMaxContactFetchInterval = std::chrono::seconds(60);

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
  Duration delay = first_start_ ? kFirstWritesTime : Duration{0};
  if (rank >= Membership::kFirstReaders) {
    const auto steps =
        static_cast<std::int64_t>(std::min(rank, kMaxDelaySteps));
    delay += kOtherRowsDelay + kOtherRowsDelayStep * steps;
  }
  list_timer_ =
      loop_.After(delay, [this] { ReadOtherDataCentres(kRepeatedReadDelay); });
}

void Cluster::ReadOtherDataCentres(Duration repeat_after) {
  for (const std::string& data_centre : other_data_centres_) {
    if (members_.LacksDaemonsOf(data_centre)) {
      rows_.ReadOther(data_centre);
    }
  }
  // A call may fail, and a neighbour may list the others meanwhile.
  const Duration next = std::min(repeat_after * 2, kMaxRepeatedReadDelay);
  list_timer_ =
      loop_.After(repeat_after, [this, next] { ReadOtherDataCentres(next); });
}

void Cluster::FetchDaemonList(const Membership::Peer& peer) {
  last_list_fetch_ = loop_.Now();
  contact_fetch_interval_ =
      std::min(contact_fetch_interval_ * 2, kMaxContactFetchInterval);
  calls_.FetchDaemonList(peer.state,
                         [this](const std::vector<ListedDaemon>& daemons) {
                           OnDaemonList(daemons);
                         });
}

void Cluster::FetchListIfLonger(const Membership::Peer& peer) {
  if (!members_.KnowsMore(peer)) {
    return;
  }
  const Duration since = loop_.Now() - last_list_fetch_;
  loop_.Cancel(list_fetch_timer_);
  list_fetch_timer_ =
      loop_.After(std::max(Duration{0}, kListFetchInterval - since),
                  [this, name = peer.state.name] {
                    const Membership::Peer* source = members_.Find(name);
                    if (members_.KnowsMore(*source)) {
                      FetchDaemonList(*source);
                    }
                  });
}

void Cluster::FetchListIfOutOfContact() {
  const Duration since = loop_.Now() - last_list_fetch_;
  if (since < contact_fetch_interval_ || !members_.LacksContact()) {
    return;
  }
  if (const Membership::Peer* neighbour = members_.RandomNeighbour()) {
    FetchDaemonList(*neighbour);
  }
}

void Cluster::OnDaemonList(std::span<const ListedDaemon> daemons) {
  const std::size_t before = members_.known_daemons();
  Send(members_.OnListed(daemons));
  const std::size_t added = members_.known_daemons() - before;
  LogEvent("daemons_listed")
      .Field("daemons", daemons.size())
      .Field("new", added);
  if (added > 0) {
    contact_fetch_interval_ = kListFetchInterval;
  }
  if (added > before / kToldGrowthDivisor) {
    SendUpdate(UpdateScope::kForward);
  }
}

}  // namespace gentianroute::gateway
