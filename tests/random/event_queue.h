#ifndef GENTIANROUTE_TESTS_RANDOM_EVENT_QUEUE_H_
#define GENTIANROUTE_TESTS_RANDOM_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::testing {

/// @brief Event queue in virtual time; runs tasks with the same time in the
/// order in which they were scheduled.
class EventQueue {
 public:
  using Task = std::function<void()>;

  TimePoint now() const { return now_; }
  /// @brief Number of tasks that have run.
  std::uint64_t executed() const { return executed_; }

  void At(TimePoint due, Task task) {
    events_.push({std::max(due, now_), next_sequence_++, std::move(task)});
  }
  void After(Duration delay, Task task) { At(now_ + delay, std::move(task)); }

  /// @brief Advances the time to the next task and runs it.
  /// @return false if the queue is empty
  bool RunNext() {
    if (events_.empty()) {
      return false;
    }
    const Event event = events_.top();
    events_.pop();
    now_ = event.due;
    ++executed_;
    event.task();
    return true;
  }

 private:
  struct Event {
    TimePoint due;
    std::uint64_t sequence;
    Task task;
    bool operator<(const Event& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };

  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
  std::priority_queue<Event> events_;
};

/// @brief The only source of randomness of a run, so that its seed reproduces
/// it.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : rng_(seed) {}

  std::uint64_t Below(std::uint64_t limit) { return rng_() % limit; }
  bool Chance(double probability) {
    constexpr std::uint64_t kResolution = 1'000'000;
    return static_cast<double>(Below(kResolution)) < probability * kResolution;
  }
  /// @brief A random duration in milliseconds, both bounds included.
  Duration Between(std::uint64_t min_ms, std::uint64_t max_ms) {
    constexpr std::uint64_t kMicrosPerMillisecond = 1000;
    return Duration(min_ms * kMicrosPerMillisecond +
                    Below((max_ms - min_ms) * kMicrosPerMillisecond + 1));
  }

 private:
  std::mt19937_64 rng_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_RANDOM_EVENT_QUEUE_H_
