#include "gentianroute/gateway/stage_router.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// After this many schedulers have broken off, this daemon calls the servers
/// itself: a small direct share costs less than a request that waits on.
constexpr std::uint32_t kMostSchedulers = 2;

/// Releases within this time share a message to the scheduler.
constexpr Duration kReleasePeriod = std::chrono::milliseconds(15);

}  // namespace

/// One group on its way: chooses a pool and its scheduler, and again if that
/// one breaks off.
class StageRouter::Handed final : public GroupHandle {
 public:
  Handed(StageRouter& work,
         std::string_view service,
         routing::StageGroup group,
         routing::PoolWork load,
         Done done)
      : work_(work),
        service_(service),
        group_(std::move(group)),
        load_(std::move(load)),
        done_(std::move(done)) {
    work_.handed_.push_back(this);
    Choose();
  }
  ~Handed() override {
    work_.loop_.Cancel(timer_);
    auto& all = work_.handed_;
    all.erase(std::remove(all.begin(), all.end(), this), all.end());
  }

  void OnPeerGone(std::string_view peer) {
    if (scheduler_ == peer) {
      ChooseLater();
    }
  }

 private:
  void ChooseLater() {
    scheduler_.clear();
    work_.loop_.Cancel(timer_);
    timer_ = work_.loop_.After(Duration{0}, [this] { Choose(); });
  }

  void Choose() {
    const TimePoint now = work_.loop_.Now();
    const routing::StageCapacity* capacity = work_.CapacityOf(service_);
    const auto pools = work_.PoolsOf(now, service_);
    load_.time_left = group_.soft_deadline - now;
    const routing::PoolState* pool =
        capacity == nullptr
            ? nullptr
            : routing::ChoosePool(pools, load_, *capacity, work_.topology_);
    if (pool == nullptr) {
      timer_ = work_.loop_.After(Duration{0}, [this] {
        End({routing::StageFailure::kNoServer, {}});
      });
      return;
    }
    data_centre_ = pool->data_centre;
    const std::uint32_t calls =
        (group_.pieces + capacity->batch - 1) / capacity->batch;
    work_.board_.OnWorkSubmitted(service_, data_centre_,
                                 capacity->piece_time * group_.pieces +
                                     capacity->call_overhead * calls / 2);
    HandOver();
  }

  void HandOver() {
    scheduler_ = work_.cluster_.SchedulerOf({service_, data_centre_});
    const bool here =
        work_.cluster_.IsSelf(scheduler_) || schedulers_ >= kMostSchedulers;
    ++schedulers_;
    LogEvent("stage_handed")
        .ForRequest(group_.request, LogPriority::kLow)
        .Field("stage", group_.stage)
        .Field("service", service_)
        .Field("data_centre", data_centre_)
        .Field("scheduler", here ? "here" : scheduler_)
        .Field("pieces", group_.pieces)
        .Field("wanted_ms",
               WholeMilliseconds(group_.soft_deadline - work_.loop_.Now()))
        .Field("limit_ms",
               WholeMilliseconds(group_.deadline - work_.loop_.Now()));
    if (here) {
      scheduler_.clear();
      hold_ = work_.desk_.Run(
          service_, data_centre_, group_,
          [this](GroupOutcome outcome) { End(std::move(outcome)); });
      return;
    }
    hold_ = work_.cluster_.RunGroupAt(
        scheduler_, {service_, data_centre_}, group_,
        [this](std::optional<GroupOutcome> outcome) {
          if (outcome) {
            End(std::move(*outcome));
            return;
          }
          LogEvent("scheduler_broke_off", LogLevel::kWarning)
              .ForRequest(group_.request, LogPriority::kHigh)
              .Field("service", service_)
              .Field("scheduler", scheduler_);
          ChooseLater();
        });
  }

  void End(GroupOutcome outcome) {
    const Done done = std::move(done_);
    done({std::move(outcome), data_centre_});
  }

  StageRouter& work_;
  std::string service_;
  routing::StageGroup group_;
  routing::PoolWork load_;
  Done done_;
  std::string data_centre_;
  std::string scheduler_;
  std::uint32_t schedulers_ = 0;
  std::unique_ptr<GroupHandle> hold_;
  TimerId timer_;
};

StageRouter::StageRouter(EventLoop& loop,
                         Cluster& cluster,
                         StageScheduler& desk,
                         routing::ServerDirectory& servers,
                         const routing::Topology& topology)
    : loop_(loop),
      cluster_(cluster),
      desk_(desk),
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
  board_.Report(now,
                {std::string(service), std::string(data_centre), 0, backlog});
}

const routing::StageCapacity* StageRouter::CapacityOf(
    std::string_view service) const {
  const routing::ServiceSpec* spec =
      table_ == nullptr ? nullptr : table_->FindService(service);
  return spec != nullptr && spec->stage ? &*spec->stage : nullptr;
}

std::vector<routing::PoolState> StageRouter::PoolsOf(TimePoint now,
                                                     std::string_view service) {
  std::map<std::string, std::uint32_t> open;
  for (const routing::ServerPtr& server : servers_.ServersOf(service)) {
    const bool usable = server->open() && !server->history().IsAvoided(now);
    open[server->record().data_centre] += usable ? 1 : 0;
  }
  for (const auto& [data_centre, servers] : open) {
    board_.SetServers(service, data_centre, servers);
  }
  std::vector<routing::PoolState> pools = board_.PoolsOf(now, service);
  std::erase_if(pools, [&open](const routing::PoolState& pool) {
    return !open.contains(pool.data_centre);
  });
  return pools;
}

std::unique_ptr<GroupHandle> StageRouter::Run(
    std::string_view service,
    routing::StageGroup group,
    std::vector<routing::PlacedBytes> inputs,
    std::string_view read_in,
    Done done) {
  const routing::StageCapacity* capacity = CapacityOf(service);
  routing::PoolWork load;
  load.pieces = group.pieces;
  load.piece_time = capacity == nullptr ? Duration{0} : capacity->piece_time;
  load.inputs = std::move(inputs);
  load.result_bytes = group.result_bytes * group.pieces;
  load.reader_data_centre = read_in;
  return std::make_unique<Handed>(*this, service, std::move(group),
                                  std::move(load), std::move(done));
}

void StageRouter::Release(std::string_view service,
                          std::string_view data_centre,
                          std::vector<std::string> results) {
  auto& waiting = released_[{std::string(service), std::string(data_centre)}];
  waiting.insert(waiting.end(), std::make_move_iterator(results.begin()),
                 std::make_move_iterator(results.end()));
}

void StageRouter::FlushReleases() {
  for (auto& [pool, results] : std::exchange(released_, {})) {
    const std::string& scheduler = cluster_.SchedulerOf(pool);
    if (cluster_.IsSelf(scheduler)) {
      desk_.Release(pool.service, pool.data_centre, std::move(results));
    } else {
      cluster_.ReleaseAt(scheduler, pool, results);
    }
  }
}

Duration StageRouter::TimeFor(TimePoint now, const routing::StagePlan& plan) {
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
    const auto pools = PoolsOf(now, service);
    const routing::PoolWork load{plan.pieces(stage), capacity->piece_time};
    const routing::PoolState* pool =
        routing::ChoosePool(pools, load, *capacity, topology_);
    if (pool != nullptr) {
      done[stage] += routing::EstimatedPoolTime(*pool, load, *capacity) +
                     topology_.RoundTrip(pool->data_centre);
    }
    last = std::max(last, done[stage]);
  }
  return last;
}

Duration StageRouter::LeastAfter(const routing::StagePlan& plan,
                                 std::uint32_t stage) const {
  return plan.LongestChainAfter(stage, [this](const routing::StageSpec& spec) {
    const routing::StageCapacity* capacity = CapacityOf(spec.service);
    return capacity == nullptr ? Duration{0}
                               : capacity->call_overhead + capacity->piece_time;
  });
}

Duration StageRouter::UsualAfter(const routing::StagePlan& plan,
                                 std::uint32_t stage) const {
  return plan.LongestChainAfter(stage, [this](const routing::StageSpec& spec) {
    const routing::StageCapacity* capacity = CapacityOf(spec.service);
    return capacity == nullptr ? Duration{0}
                               : capacity->TypicalCallTime() * 3 / 2;
  });
}

Duration StageRouter::BusyFor(TimePoint now, const routing::StagePlan& plan) {
  Duration busiest{0};
  for (std::uint32_t stage = 0; stage < plan.stages(); ++stage) {
    Duration free_in = Duration::max();
    for (const routing::PoolState& pool :
         PoolsOf(now, plan.spec(stage).service)) {
      if (pool.servers > 0) {
        free_in = std::min(free_in, pool.backlog.all / pool.servers);
      }
    }
    if (plan.pieces(stage) > 0 && free_in != Duration::max()) {
      busiest = std::max(busiest, free_in);
    }
  }
  return busiest;
}

bool StageRouter::HasServers(const routing::StagePlan& plan) const {
  for (std::uint32_t stage = 0; stage < plan.stages(); ++stage) {
    const auto& servers = servers_.ServersOf(plan.spec(stage).service);
    const bool open = std::any_of(
        servers.begin(), servers.end(),
        [](const routing::ServerPtr& server) { return server->open(); });
    if (plan.pieces(stage) > 0 && !open) {
      return false;
    }
  }
  return true;
}

void StageRouter::OnPeerGone(std::string_view peer) {
  for (Handed* handed : std::vector<Handed*>(handed_)) {
    handed->OnPeerGone(peer);
  }
}

}  // namespace gentianroute::gateway
