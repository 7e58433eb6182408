#include <algorithm>
#include <chrono>
#include <utility>

#include "gentianroute/routing/stage_pool.h"

// The order of a pool's queue, and which of its groups can't be done in time.

namespace gentianroute::routing {
namespace {

/// Groups with larger results stay where they were placed: the results would
/// have to be transferred between data centres.
constexpr double kMaxMovedBytes = 1e6;

}  // namespace

std::vector<WaitingWork> StagePool::ByUrgency(TimePoint now,
                                              std::size_t servers) const {
  std::vector<WaitingWork> waiting;
  for (const auto& [id, entry] : groups_) {
    if (!entry.waiting.empty()) {
      waiting.push_back(WorkOf(now, id, entry, servers));
    }
  }
  return OrderWork(now, std::move(waiting), BusyTime(now), servers);
}

WaitingWork StagePool::WorkOf(TimePoint now,
                              StageGroupId id,
                              const Group& entry,
                              std::size_t servers) const {
  const auto count = static_cast<std::int64_t>(servers);
  const admission::ResourceTime time = forecast_->TimeFor(
      now, NeedOf(entry, entry.waiting.size()), ServersOf(servers));
  const Duration call = capacity_.TypicalCallTime();
  WaitingWork work;
  work.id = id.value;
  work.submitted_at = entry.group.submitted_at;
  work.soft_deadline = entry.group.soft_deadline;
  work.server_time = time.servers * count;
  work.storage_time = time.storage * count;
  work.min_duration = call;
  work.value = entry.value;
  if (const auto promise = forecast_->promise()) {
    ApplyPromise(now, *promise, entry, work);
  }
  return work;
}

void StagePool::ApplyPromise(TimePoint now,
                             const admission::Promise& promise,
                             const Group& entry,
                             WaitingWork& work) const {
  const Duration call = capacity_.TypicalCallTime();
  const auto calls = [call](double count) {
    return std::chrono::duration_cast<Duration>(call * count);
  };
  if (!entry.is_promised) {
    work.min_duration += calls(promise.spare_calls);
  } else if (now + call <= work.soft_deadline) {
    work.value *= promise.value_ratio;
  } else {
    work.value *= promise.late_value_share;
    work.soft_deadline = now + calls(promise.late_calls);
  }
}

admission::ServerGroup StagePool::ServersOf(std::size_t servers) const {
  return {servers,
          capacity_.result_storage_bytes * static_cast<double>(servers)};
}

admission::ResourceNeed StagePool::NeedOf(const Group& entry,
                                          std::size_t pieces) const {
  const auto count = static_cast<std::int64_t>(pieces);
  const double bytes = entry.group.result_bytes;
  return {PieceTime(entry.group) * count +
              capacity_.call_overhead * count / capacity_.batch,
          storage_.IsLarge(bytes) ? bytes * static_cast<double>(pieces) : 0.0};
}

admission::QueuedWork StagePool::Queued() const {
  admission::QueuedWork queued;
  for (const auto& [id, entry] : groups_) {
    admission::ResourceNeed need = NeedOf(entry, entry.waiting.size());
    need.storage_bytes *= storage_blocks_ ? 1 : 0;
    queued.Of(!entry.yields) += need;
  }
  return queued;
}

std::vector<StageGroupId> StagePool::EndLateGroups(TimePoint now,
                                                   std::size_t servers) {
  std::vector<StageGroupId> kept;
  const Duration running = BusyTime(now) / static_cast<std::int64_t>(servers);
  admission::QueuedWork ahead;
  for (const WaitingWork& next : ByUrgency(now, servers)) {
    const StageGroupId id{next.id};
    Group& entry = groups_.at(id);
    entry.yields = next.is_late;
    entry.is_promised |= !next.is_late;
    const ForeseenWait wait = ForeseeWait(now, entry, ahead, servers, running);
    if (IsTooLate(now, entry, wait)) {
      MissedDeadline missed{entry.group.request, wait.until_start,
                            entry.group.deadline - now,
                            now - entry.group.submitted_at};
      FinishGroup(id, StageFailure::kLate);
      finished_.back().missed = std::move(missed);
      continue;
    }
    entry.was_let_in = true;
    if (entry.yields && MayMove(entry)) {
      const Duration time = NeedOf(entry, entry.waiting.size()).server_time;
      late_groups_.push_back({id, wait.if_it_held, time});
    }
    ahead.Of(!entry.yields) += NeedOf(entry, entry.waiting.size());
    kept.push_back(id);
  }
  return kept;
}

StagePool::ForeseenWait StagePool::ForeseeWait(
    TimePoint now,
    const Group& entry,
    const admission::QueuedWork& ahead,
    std::size_t servers,
    Duration running) const {
  const admission::ResourceNeed need = NeedOf(entry, entry.waiting.size());
  const auto behind = [&](bool is_on_time) {
    return running + forecast_->WaitBehind(now, ahead, need, is_on_time,
                                           ServersOf(servers));
  };
  const Duration if_it_held = behind(true);
  return {entry.yields ? behind(false) : if_it_held, if_it_held};
}

bool StagePool::IsTooLate(TimePoint now,
                          const Group& entry,
                          const ForeseenWait& wait) const {
  Duration until_start = wait.until_start;
  const auto promise = forecast_->promise();
  if (promise && entry.yields && !entry.was_let_in) {
    until_start = std::chrono::duration_cast<Duration>(until_start *
                                                       promise->new_wait_ratio);
  }
  const TimePoint end =
      now + until_start + capacity_.call_overhead + PieceTime(entry.group);
  return end > entry.group.deadline;
}

bool StagePool::MayMove(const Group& entry) {
  const double bytes =
      entry.group.result_bytes * static_cast<double>(entry.group.pieces);
  return !entry.group.stays && bytes <= kMaxMovedBytes &&
         entry.waiting.size() == entry.group.pieces;
}

void StagePool::PutStartedFirst(std::vector<StageGroupId>& order) const {
  std::stable_partition(order.begin(), order.end(), [this](StageGroupId id) {
    const Group& entry = groups_.at(id);
    return entry.waiting.size() < entry.group.pieces;
  });
}

}  // namespace gentianroute::routing
