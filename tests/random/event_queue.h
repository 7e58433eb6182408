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

/// @brief Tasks in virtual time; equal times in the order of their planning.
class EventQueue {
 public:
  using Task = std::function<void()>;

  TimePoint now() const { return now_; }
  std::uint64_t executed() const { return executed_; }

  void At(TimePoint due, Task task) {
    events_.push({std::max(due, now_), next_sequence_++, std::move(task)});
  }
  void After(Duration delay, Task task) { At(now_ + delay, std::move(task)); }

  /// @return false if nothing is left
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

/// @brief All chance of one run, from its seed alone.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : rng_(seed) {}

  std::uint64_t Below(std::uint64_t limit) { return rng_() % limit; }
  bool Chance(double probability) {
    constexpr std::uint64_t kResolution = 1'000'000;
    return static_cast<double>(Below(kResolution)) < probability * kResolution;
  }
  /// @param least,most milliseconds
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
