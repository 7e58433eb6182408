#include "gentianroute/routing/work_order.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <queue>
#include <span>
#include <utility>

namespace gentianroute::routing {
namespace {

/// The value density of late work doubles in this time.
constexpr double kAgeingDoublingSeconds = 1.0;

/// What work needs of one resource.
using Need = Duration WaitingWork::*;

/// Value for each second of a resource.
double ValueDensity(const WaitingWork& work, Need need) {
  constexpr double kMinSeconds = 1e-6;
  return work.value / std::max(kMinSeconds, Seconds(work.*need));
}

double AgedValueDensity(TimePoint now, const WaitingWork& work) {
  return ValueDensity(work, &WaitingWork::server_time) *
         std::exp2(Seconds(now - work.submitted_at) / kAgeingDoublingSeconds);
}

/// Late work and its density, which is expensive to compute in comparisons.
struct LateWork {
  double density = 0;
  std::uint64_t id = 0;
  std::size_t index = 0;
};

/// Appends late work, that of the highest aged value density first.
void AppendByAgedDensity(TimePoint now,
                         const std::vector<WaitingWork>& late,
                         std::vector<WaitingWork>& order) {
  std::vector<LateWork> ranked;
  ranked.reserve(late.size());
  for (std::size_t i = 0; i < late.size(); ++i) {
    ranked.push_back({AgedValueDensity(now, late[i]), late[i].id, i});
  }
  std::sort(
      ranked.begin(), ranked.end(), [](const LateWork& a, const LateWork& b) {
        return a.density != b.density ? a.density > b.density : a.id < b.id;
      });
  for (const LateWork& next : ranked) {
    order.push_back(late[next.index]);
    order.back().is_late = true;
  }
}

/// The work for which one resource suffices to meet its soft deadline, and the
/// work that was displaced.
class FeasibleSchedule {
 public:
  FeasibleSchedule(TimePoint now, Need need, Duration busy, std::size_t servers)
      : now_(now),
        need_(need),
        total_time_(busy),
        servers_(static_cast<std::int64_t>(std::max<std::size_t>(1, servers))),
        scheduled_(HigherValueDensity{need}) {}

  /// Must be called in the order of soft deadlines.
  void Add(const WaitingWork& work) {
    Insert(work);
    std::vector<WaitingWork> displaced;
    while (FinishTime(work) > work.soft_deadline) {
      displaced.push_back(RemoveLowestDensity());
      if (displaced.back().id == work.id) {
        // The remaining work was on time before this item was added, and is
        // again without it.
        displaced.pop_back();
        for (const WaitingWork& other : displaced) {
          Insert(other);
        }
        displaced = {work};
        break;
      }
    }
    late_.insert(late_.end(), displaced.begin(), displaced.end());
  }

  std::vector<WaitingWork> TakeScheduled() {
    std::vector<WaitingWork> scheduled;
    while (!scheduled_.empty()) {
      scheduled.push_back(scheduled_.top());
      scheduled_.pop();
    }
    return scheduled;
  }
  std::vector<WaitingWork> TakeDisplaced() { return std::move(late_); }

 private:
  struct HigherValueDensity {
    Need need;
    bool operator()(const WaitingWork& a, const WaitingWork& b) const {
      return ValueDensity(a, need) > ValueDensity(b, need);
    }
  };

  void Insert(const WaitingWork& work) {
    scheduled_.push(work);
    total_time_ += work.*need_;
  }
  WaitingWork RemoveLowestDensity() {
    WaitingWork lowest = scheduled_.top();
    scheduled_.pop();
    total_time_ -= lowest.*need_;
    return lowest;
  }

  TimePoint FinishTime(const WaitingWork& work) const {
    // The item occupies a server of its own while the other servers do the work
    // ahead of it.
    const Duration before = total_time_ - work.*need_ * servers_;
    return now_ + std::max(Duration{0}, before / servers_) + work.min_duration;
  }

  TimePoint now_;
  Need need_;
  Duration total_time_;
  std::int64_t servers_;
  std::priority_queue<WaitingWork, std::vector<WaitingWork>, HigherValueDensity>
      scheduled_;
  std::vector<WaitingWork> late_;
};

bool HasEarlierDeadline(const WaitingWork& a, const WaitingWork& b) {
  return a.soft_deadline != b.soft_deadline ? a.soft_deadline < b.soft_deadline
                                            : a.id < b.id;
}

void Append(std::vector<WaitingWork> from, std::vector<WaitingWork>& to) {
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(from.end()));
}

/// Divides work by whether its results find storage in time.
/// @param waiting in the order of soft deadlines
/// @param late receives the work that is displaced
/// @return the other work, in the order of soft deadlines
std::vector<WaitingWork> TakeStorable(TimePoint now,
                                      std::span<const WaitingWork> waiting,
                                      std::size_t servers,
                                      std::vector<WaitingWork>& late) {
  FeasibleSchedule stored(now, &WaitingWork::storage_time, Duration{0},
                          servers);
  std::vector<WaitingWork> storable;
  for (const WaitingWork& work : waiting) {
    if (work.storage_time.count() > 0) {
      stored.Add(work);
    } else {
      storable.push_back(work);
    }
  }
  Append(stored.TakeScheduled(), storable);
  Append(stored.TakeDisplaced(), late);
  std::sort(storable.begin(), storable.end(), HasEarlierDeadline);
  return storable;
}

}  // namespace

std::vector<WaitingWork> OrderWork(TimePoint now,
                                   std::vector<WaitingWork> waiting,
                                   Duration busy,
                                   std::size_t servers) {
  std::vector<WaitingWork> late;
  std::erase_if(waiting, [now, &late](const WaitingWork& work) {
    const bool is_late = now + work.min_duration > work.soft_deadline;
    if (is_late) {
      late.push_back(work);
    }
    return is_late;
  });
  std::sort(waiting.begin(), waiting.end(), HasEarlierDeadline);
  FeasibleSchedule on_time(now, &WaitingWork::server_time, busy, servers);
  for (const WaitingWork& work : TakeStorable(now, waiting, servers, late)) {
    on_time.Add(work);
  }
  Append(on_time.TakeDisplaced(), late);
  std::vector<WaitingWork> order = on_time.TakeScheduled();
  std::sort(order.begin(), order.end(), HasEarlierDeadline);
  AppendByAgedDensity(now, late, order);
  return order;
}

}  // namespace gentianroute::routing
