#include "gentianroute/routing/server_reach.h"

#include <algorithm>
#include <set>

namespace gentianroute::routing {

void ServerReach::OnNotConnected(TimePoint now, std::string_view server) {
  Record(now, server, unconnected_);
}

void ServerReach::OnNoAnswer(TimePoint now, std::string_view server) {
  Record(now, server, silent_);
}

void ServerReach::Record(TimePoint now,
                         std::string_view server,
                         Failures& failures) {
  std::erase_if(failures, [now](const auto& failure) {
    return now - failure.second > kFailureMemory;
  });
  failures.insert_or_assign(std::string(server), now);
}

std::size_t ServerReach::CountSince(const Failures& failures, TimePoint since) {
  return static_cast<std::size_t>(std::ranges::count_if(
      failures,
      [since](const auto& failure) { return failure.second >= since; }));
}

bool ServerReach::NeedsProbes(TimePoint now, std::size_t servers) const {
  const bool may_probe =
      !probing_ && servers > 0 &&
      (probed_at_ == TimePoint{} || now - probed_at_ >= kProbePeriod);
  if (!may_probe || cut_off_) {
    return may_probe;
  }
  const TimePoint since = now - kFailureMemory;
  const std::size_t needed = std::min(kMinFailedServers, servers);
  return CountSince(unconnected_, since) >= needed ||
         CountSince(silent_, since) >= needed;
}

void ServerReach::OnProbesStarted(TimePoint now) {
  probing_ = true;
  probed_at_ = now;
}

std::size_t ServerReach::Needed(std::size_t probed) const {
  return criterion_ == Criterion::kAny ? 1 : (probed + 1) / 2;
}

bool ServerReach::IsDecided(std::size_t probed,
                            std::size_t connected,
                            std::size_t failed) const {
  const std::size_t needed = Needed(probed);
  return connected >= needed || probed - failed < needed;
}

bool ServerReach::OnProbesEnded(std::size_t probed, std::size_t connected) {
  probing_ = false;
  unconnected_.clear();
  silent_.clear();
  const bool was_cut_off = cut_off_;
  cut_off_ = connected < Needed(probed);
  return cut_off_ != was_cut_off;
}

std::vector<ServerPtr> ChooseProbed(std::span<const ServerPtr> servers) {
  std::vector<ServerPtr> chosen;
  std::vector<ServerPtr> others;
  std::set<std::string_view> data_centres;
  for (const ServerPtr& server : servers) {
    const bool is_first =
        data_centres.insert(server->record().data_centre).second;
    (is_first ? chosen : others).push_back(server);
  }
  chosen.insert(chosen.end(), others.begin(), others.end());
  const auto count = std::min(chosen.size(), ServerReach::kProbes);
  chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(count),
               chosen.end());
  return chosen;
}

}  // namespace gentianroute::routing
