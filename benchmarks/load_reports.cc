#include <algorithm>
#include <utility>

#include "load_model_internal.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHostListInterval = seconds(1);
constexpr Duration kLoadSampleInterval = milliseconds(100);
constexpr std::size_t kSharedUsageRecords = 64;

}  // namespace

std::uint32_t LoadModel::LaggingLoad(const FakeServer& server) const {
  const TimePoint reported_at = now_ - plan_.report_lag;
  std::uint32_t load = 0;
  for (const auto& [at, value] : server.history) {
    if (at > reported_at) {
      break;
    }
    load = value;
  }
  return load;
}

void LoadModel::PublishHostList() {
  std::vector<HostRecord> hosts;
  for (const auto& [name, server] : servers_) {
    hosts.push_back(server->record);
    hosts.back().load = LaggingLoad(*server);
    hosts.back().load_age = plan_.report_lag;
  }
  for (const auto& daemon : daemons_) {
    daemon->servers.ApplyHostList(now_, hosts);
    daemon->coordinator.OnServersChanged(now_);
    ExecuteActions(*daemon);
  }
  if (now_ < TimePoint{} + plan_.duration) {
    Schedule(now_ + kHostListInterval, [this] { PublishHostList(); });
  }
}

void LoadModel::ShareUsage() {
  for (const auto& from : daemons_) {
    const auto heaviest = from->usage.Heaviest(now_, kSharedUsageRecords);
    for (const auto& to : daemons_) {
      if (to != from && plan_.share_usage) {
        to->usage.SetRemote(now_, from->region, heaviest);
      }
    }
  }
  if (now_ < TimePoint{} + plan_.duration) {
    Schedule(now_ + seconds(1), [this] { ShareUsage(); });
  }
}

void LoadModel::SampleLoad() {
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> extremes;
  for (const auto& [name, server] : servers_) {
    const std::uint32_t load = server->Load();
    server->history.emplace_back(now_, load);
    while (server->history.size() > 2 &&
           server->history[1].first <= now_ - plan_.report_lag) {
      server->history.pop_front();
    }
    auto& [least, most] =
        extremes.try_emplace(server->record.pool, load, load).first->second;
    least = std::min(least, load);
    most = std::max(most, load);
  }
  for (const auto& [pool, range] : extremes) {
    outcome_.load_spread += range.second - range.first;
  }
  ++load_samples_;
  if (now_ < TimePoint{} + plan_.duration) {
    Schedule(now_ + kLoadSampleInterval, [this] { SampleLoad(); });
  }
}

}  // namespace gentianroute::bench
