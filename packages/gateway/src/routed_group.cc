#include "gentianroute/gateway/detail/routed_group.h"

#include <algorithm>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// After this many failed schedulers this daemon schedules the group itself:
/// the smaller calls that result cost less than a longer delay of the request.
constexpr std::uint32_t kMaxSchedulerAttempts = 2;

}  // namespace

StageRouter::RoutedGroup::RoutedGroup(StageRouter& router,
                                      std::string_view service,
                                      const routing::Placement& placement,
                                      routing::StageGroup group,
                                      routing::PoolWork pool_work,
                                      Done done)
    : router_(router),
      service_(service),
      placement_(placement),
      group_(std::move(group)),
      pool_work_(std::move(pool_work)),
      done_(std::move(done)) {
  router_.groups_.push_back(this);
  Submit();
}

StageRouter::RoutedGroup::~RoutedGroup() {
  router_.loop_.Cancel(timer_);
  auto& all = router_.groups_;
  all.erase(std::remove(all.begin(), all.end(), this), all.end());
}

void StageRouter::RoutedGroup::OnPeerLost(std::string_view peer) {
  if (scheduler_ == peer) {
    ResubmitLater();
  }
}

void StageRouter::RoutedGroup::OnPeerCutOff(std::string_view peer) {
  if (scheduler_ == peer && CurrentScheduler() != peer) {
    ResubmitLater();
  }
}

void StageRouter::RoutedGroup::OnReachChanged() {
  const bool runs_here = scheduler_.empty();
  if (runs_here && !router_.cluster_.IsSelf(CurrentScheduler())) {
    scheduler_attempts_ = 0;
    ResubmitLater();
  }
}

const std::string& StageRouter::RoutedGroup::CurrentScheduler() const {
  return router_.cluster_.SchedulerOf({service_, data_centre_});
}

void StageRouter::RoutedGroup::OnPlacementChanged() {
  const bool permitted = placement_.PermitsDataIn(data_centre_) &&
                         (scheduler_.empty() || MayHandOver(scheduler_));
  if (!permitted) {
    ResubmitLater();
  }
}

bool StageRouter::RoutedGroup::MayHandOver(std::string_view daemon) const {
  return placement_.PermitsDataIn(router_.cluster_.DataCentreOf(daemon));
}

void StageRouter::RoutedGroup::ResubmitLater() {
  scheduler_.clear();
  router_.loop_.Cancel(timer_);
  timer_ = router_.loop_.After(Duration{0}, [this] { Submit(); });
}

void StageRouter::RoutedGroup::Submit() {
  handle_.reset();
  const TimePoint now = router_.loop_.Now();
  const routing::StageCapacity* capacity = router_.CapacityOf(service_);
  auto pools = router_.PoolsOf(now, service_, placement_);
  std::erase_if(pools, [this](const routing::PoolState& pool) {
    return closed_pools_.contains(pool.data_centre);
  });
  pool_work_.time_left = group_.soft_deadline - now;
  const routing::PoolState* pool =
      capacity == nullptr ? nullptr : Choose(pools, *capacity);
  if (pool == nullptr) {
    timer_ = router_.loop_.After(Duration{0}, [this] {
      End({routing::StageFailure::kNoServer, {}, {}});
    });
    return;
  }
  data_centre_ = pool->data_centre;
  const std::uint32_t calls =
      (group_.pieces + capacity->batch - 1) / capacity->batch;
  router_.pool_states_.OnWorkSubmitted(service_, data_centre_,
                                       capacity->piece_time * group_.pieces +
                                           capacity->call_overhead * calls / 2);
  SubmitToScheduler();
}

const routing::PoolState* StageRouter::RoutedGroup::Choose(
    std::span<const routing::PoolState> pools,
    const routing::StageCapacity& capacity) {
  const std::string target = std::exchange(move_to_, {});
  for (const routing::PoolState& pool : pools) {
    if (pool.data_centre == target && pool.servers > 0) {
      return &pool;
    }
  }
  return routing::ChoosePool(pools, pool_work_, capacity, router_.topology_);
}

void StageRouter::RoutedGroup::SubmitToScheduler() {
  scheduler_ = CurrentScheduler();
  const bool here = router_.cluster_.IsSelf(scheduler_) ||
                    scheduler_attempts_ >= kMaxSchedulerAttempts ||
                    !MayHandOver(scheduler_);
  ++scheduler_attempts_;
  const TimePoint now = router_.loop_.Now();
  LogEvent("stage_handed")
      .ForRequest(group_.request, LogPriority::kLow)
      .Field("stage", group_.stage)
      .Field("service", service_)
      .Field("data_centre", data_centre_)
      .Field("scheduler", here ? "here" : scheduler_)
      .Field("pieces", group_.pieces)
      .Field("wanted_ms", WholeMilliseconds(group_.soft_deadline - now))
      .Field("limit_ms", WholeMilliseconds(group_.deadline - now));
  if (here) {
    SubmitHere();
    return;
  }
  handle_ = router_.cluster_.RunGroupAt(
      scheduler_, {service_, data_centre_}, group_,
      [this](std::optional<GroupOutcome> outcome) {
        if (outcome) {
          OnOutcome(std::move(*outcome));
          return;
        }
        LogEvent("scheduler_broke_off", LogLevel::kWarning)
            .ForRequest(group_.request, LogPriority::kHigh)
            .Field("service", service_)
            .Field("scheduler", scheduler_);
        ResubmitLater();
      });
}

void StageRouter::RoutedGroup::SubmitHere() {
  scheduler_.clear();
  handle_ = router_.local_scheduler_.Run(
      service_, data_centre_, group_,
      [this](GroupOutcome outcome) { OnOutcome(std::move(outcome)); });
}

void StageRouter::RoutedGroup::OnOutcome(GroupOutcome outcome) {
  using routing::StageFailure;
  if (outcome.failure == StageFailure::kNoServer) {
    // The pool's servers are gone or its data centre is being evacuated. Each
    // pool is tried once, so that this ends.
    closed_pools_.insert(data_centre_);
    Move(std::move(outcome));
  } else if (outcome.failure == StageFailure::kMoved) {
    Move(std::move(outcome));
  } else {
    End(std::move(outcome));
  }
}

void StageRouter::RoutedGroup::Move(GroupOutcome outcome) {
  // A group that moved again and again would spend its time on the way.
  group_.stays = true;
  move_to_ = std::move(outcome.move_to);
  scheduler_attempts_ = 0;
  LogEvent("stage_moved", LogLevel::kWarning)
      .ForRequest(group_.request, LogPriority::kNormal)
      .Field("stage", group_.stage)
      .Field("service", service_)
      .Field("from", data_centre_)
      .Field("to", move_to_);
  ResubmitLater();
}

void StageRouter::RoutedGroup::End(GroupOutcome outcome) {
  const Done done = std::move(done_);
  done({std::move(outcome), data_centre_});
}

}  // namespace gentianroute::gateway
