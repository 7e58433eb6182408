#include "gentianroute/gateway/stage_router.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gentianroute/gateway/detail/routed_group.h"

namespace gentianroute::gateway {
namespace {

/// Releases are sent to the schedulers in batches with this period.
constexpr Duration kReleasePeriod = std::chrono::milliseconds(15);

}  // namespace

StageRouter::StageRouter(EventLoop& loop,
                         Cluster& cluster,
                         StageScheduler& local_scheduler,
                         routing::ServerDirectory& servers,
                         const routing::Topology& topology)
    : loop_(loop),
      cluster_(cluster),
      local_scheduler_(local_scheduler),
      servers_(servers),
      topology_(topology) {
  release_timer_ = loop_.Every(kReleasePeriod, [this] { FlushReleases(); });
}

StageRouter::~StageRouter() {
  loop_.Cancel(release_timer_);
}

void StageRouter::OnBacklog(TimePoint now,
                            std::string_view service,
                            std::string_view data_centre,
                            routing::Backlog backlog) {
  pool_states_.Report(
      now, {std::string(service), std::string(data_centre), 0, backlog});
}

const routing::StageCapacity* StageRouter::CapacityOf(
    std::string_view service) const {
  const routing::ServiceSpec* spec =
      table_ == nullptr ? nullptr : table_->FindService(service);
  return spec != nullptr && spec->stage ? &*spec->stage : nullptr;
}

std::vector<routing::PoolState> StageRouter::PoolsOf(
    TimePoint now,
    std::string_view service,
    const routing::Placement& placement) {
  std::map<std::string, std::uint32_t> open;
  for (const routing::ServerPtr& server : servers_.ServersOf(service)) {
    const bool usable = server->open() && !server->history().IsAvoided(now);
    open[server->record().data_centre] += usable ? 1 : 0;
  }
  for (const auto& [data_centre, servers] : open) {
    pool_states_.SetServers(service, data_centre, servers);
  }
  std::vector<routing::PoolState> pools = pool_states_.PoolsOf(now, service);
  std::erase_if(pools, [&open, &placement](const routing::PoolState& pool) {
    return !open.contains(pool.data_centre) ||
           !placement.Accepts(pool.data_centre);
  });
  return pools;
}

std::string StageRouter::FasterPool(TimePoint now,
                                    std::string_view service,
                                    std::string_view data_centre,
                                    const routing::Placement& placement,
                                    Duration wait,
                                    Duration server_time) {
  const routing::StageCapacity* capacity = CapacityOf(service);
  if (capacity == nullptr) {
    return {};
  }
  const auto pools = PoolsOf(now, service, placement);
  const routing::PoolState* faster =
      routing::FasterPool(pools, data_centre, wait, *capacity, topology_);
  if (faster == nullptr) {
    return {};
  }
  pool_states_.OnWorkSubmitted(service, faster->data_centre, server_time);
  return faster->data_centre;
}

std::unique_ptr<GroupHandle> StageRouter::Run(
    std::string_view service,
    const routing::Placement& placement,
    routing::StageGroup group,
    std::vector<routing::PlacedBytes> inputs,
    std::string_view reader_data_centre,
    Done done) {
  const routing::StageCapacity* capacity = CapacityOf(service);
  routing::PoolWork pool_work;
  pool_work.pieces = group.pieces;
  pool_work.piece_time =
      capacity == nullptr ? Duration{0} : capacity->piece_time;
  pool_work.inputs = std::move(inputs);
  pool_work.result_bytes = group.result_bytes * group.pieces;
  pool_work.reader_data_centre = reader_data_centre;
  return std::make_unique<RoutedGroup>(*this, service, placement,
                                       std::move(group), std::move(pool_work),
                                       std::move(done));
}

void StageRouter::Release(std::string_view service,
                          std::string_view data_centre,
                          std::vector<std::string> results) {
  auto& pending =
      pending_releases_[{std::string(service), std::string(data_centre)}];
  pending.insert(pending.end(), std::make_move_iterator(results.begin()),
                 std::make_move_iterator(results.end()));
}

void StageRouter::FlushReleases() {
  for (auto& [pool, results] : std::exchange(pending_releases_, {})) {
    const std::string& scheduler = cluster_.SchedulerOf(pool);
    if (cluster_.IsSelf(scheduler)) {
      local_scheduler_.Release(pool.service, pool.data_centre,
                               std::move(results));
    } else {
      cluster_.ReleaseAt(scheduler, pool, results);
    }
  }
}

Duration StageRouter::EstimatedTime(TimePoint now,
                                    const routing::StagePlan& plan,
                                    const routing::Placement& placement) {
  std::vector<Duration> done(plan.stages(), Duration{0});
  Duration last{0};
  for (std::uint32_t stage = 0; stage < plan.stages(); ++stage) {
    for (const std::uint32_t input : plan.spec(stage).after) {
      done[stage] = std::max(done[stage], done[input]);
    }
    const std::string& service = plan.spec(stage).service;
    const routing::StageCapacity* capacity = CapacityOf(service);
    if (plan.pieces(stage) == 0 || capacity == nullptr) {
      continue;
    }
    const auto pools = PoolsOf(now, service, placement);
    const routing::PoolWork pool_work{plan.pieces(stage), capacity->piece_time};
    const routing::PoolState* pool =
        routing::ChoosePool(pools, pool_work, *capacity, topology_);
    if (pool != nullptr) {
      done[stage] += routing::EstimatedPoolTime(*pool, pool_work, *capacity) +
                     topology_.RoundTrip(pool->data_centre);
    }
    last = std::max(last, done[stage]);
  }
  return last;
}

Duration StageRouter::MinTimeAfter(const routing::StagePlan& plan,
                                   std::uint32_t stage) const {
  return plan.LongestChainAfter(stage, [this](const routing::StageSpec& spec) {
    const routing::StageCapacity* capacity = CapacityOf(spec.service);
    return capacity == nullptr ? Duration{0}
                               : capacity->call_overhead + capacity->piece_time;
  });
}

Duration StageRouter::TypicalTimeAfter(const routing::StagePlan& plan,
                                       std::uint32_t stage) const {
  return plan.LongestChainAfter(stage, [this](const routing::StageSpec& spec) {
    const routing::StageCapacity* capacity = CapacityOf(spec.service);
    return capacity == nullptr ? Duration{0}
                               : capacity->TypicalCallTime() * 3 / 2;
  });
}

Duration StageRouter::BacklogTime(TimePoint now,
                                  const routing::StagePlan& plan,
                                  const routing::Placement& placement) {
  Duration longest{0};
  for (std::uint32_t stage = 0; stage < plan.stages(); ++stage) {
    Duration shortest = Duration::max();
    for (const routing::PoolState& pool :
         PoolsOf(now, plan.spec(stage).service, placement)) {
      if (pool.servers > 0) {
        shortest = std::min(shortest, pool.backlog.all / pool.servers);
      }
    }
    if (plan.pieces(stage) > 0 && shortest != Duration::max()) {
      longest = std::max(longest, shortest);
    }
  }
  return longest;
}

bool StageRouter::HasServers(const routing::StagePlan& plan,
                             const routing::Placement& placement) const {
  for (std::uint32_t stage = 0; stage < plan.stages(); ++stage) {
    const auto& servers = servers_.ServersOf(plan.spec(stage).service);
    if (plan.pieces(stage) > 0 && !routing::HasPlace(servers, placement)) {
      return false;
    }
  }
  return true;
}

void StageRouter::OnPeerLost(std::string_view peer) {
  for (RoutedGroup* group : std::vector<RoutedGroup*>(groups_)) {
    group->OnPeerLost(peer);
  }
}

void StageRouter::OnPeerCutOff(std::string_view peer) {
  for (RoutedGroup* group : std::vector<RoutedGroup*>(groups_)) {
    group->OnPeerCutOff(peer);
  }
}

void StageRouter::OnReachChanged() {
  for (RoutedGroup* group : std::vector<RoutedGroup*>(groups_)) {
    group->OnReachChanged();
  }
}

void StageRouter::OnPlacementChanged() {
  for (RoutedGroup* group : std::vector<RoutedGroup*>(groups_)) {
    group->OnPlacementChanged();
  }
}

}  // namespace gentianroute::gateway
