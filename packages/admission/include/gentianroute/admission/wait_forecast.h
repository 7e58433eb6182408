#ifndef GENTIANROUTE_ADMISSION_WAIT_FORECAST_H_
#define GENTIANROUTE_ADMISSION_WAIT_FORECAST_H_

#include <cstddef>
#include <optional>

#include "gentianroute/admission/drain_rate.h"
#include "gentianroute/base/time.h"

namespace gentianroute::admission {

/// @brief What queued work needs of the servers that it waits for.
struct ResourceNeed {
  Duration server_time{};  ///< if all calls are full
  /// For large results; small ones always find some.
  double storage_bytes = 0;

  ResourceNeed& operator+=(const ResourceNeed& other) {
    server_time += other.server_time;
    storage_bytes += other.storage_bytes;
    return *this;
  }
  friend ResourceNeed operator+(ResourceNeed a, const ResourceNeed& b) {
    return a += b;
  }
};

/// @brief Work of a queue, by whether it is foreseen to be on time. The other
/// work yields: whatever can be on time goes ahead of it.
struct QueuedWork {
  ResourceNeed on_time;
  ResourceNeed yielding;

  ResourceNeed All() const { return on_time + yielding; }
  ResourceNeed& Of(bool is_on_time) { return is_on_time ? on_time : yielding; }
};

/// @brief Time in which a group of servers has done some work, by resource.
struct ResourceTime {
  Duration servers{};
  Duration storage{};  ///< zero unless storage is scarce and needed
};

/// @brief What holds for work once it was let into a queue.
struct Promise {
  /// Work is let in only if it could also bear this multiple of its foreseen
  /// wait, so that few callers are let in and refused later.
  double new_wait_ratio = 2.0;
  /// While it can be on time, it is given up only for work that is worth more
  /// by this factor.
  double value_ratio = 2.0;
  /// Time to spare, in typical calls, without which new work is not foreseen to
  /// be on time: waits vary by the time of a call.
  double spare_calls = 0.5;
  /// If it is late nevertheless, it goes ahead of work of less than this share
  /// of its value,
  double late_value_share = 0.2;
  /// and is to be done within this many typical calls.
  double late_calls = 2.0;
};

/// @brief The servers that work waits for.
struct ServerGroup {
  std::size_t servers = 1;
  double storage_bytes = 0;  ///< of all of them, for results; 0: no limit
};

/// @brief Foresees how long work waits in the queue of a group of servers.
class WaitForecast {
 public:
  virtual ~WaitForecast() = default;

  /// @brief Records what a dispatch took out of the queue, and what it left.
  virtual void OnDispatch(TimePoint now,
                          const QueuedWork& taken,
                          const QueuedWork& left) = 0;
  /// @return empty if new work may take the place of any other
  virtual std::optional<Promise> promise() const = 0;
  /// @brief Time in which the servers do some work.
  virtual ResourceTime TimeFor(TimePoint now,
                               const ResourceNeed& work,
                               const ServerGroup& group) const = 0;
  /// @brief Wait of some work of the queue.
  /// @param ahead work that goes first
  /// @return at most kNever
  virtual Duration WaitBehind(TimePoint now,
                              const QueuedWork& ahead,
                              const ResourceNeed& own,
                              bool is_on_time,
                              const ServerGroup& group) const = 0;

  /// Stands for work that is not foreseen to start at all.
  static constexpr Duration kNever = std::chrono::hours(1);
};

/// @brief Assumes that all servers are busy with full calls.
class FullCallsForecast final : public WaitForecast {
 public:
  void OnDispatch(TimePoint /*now*/,
                  const QueuedWork& /*taken*/,
                  const QueuedWork& /*left*/) override {}
  std::optional<Promise> promise() const override { return std::nullopt; }
  ResourceTime TimeFor(TimePoint now,
                       const ResourceNeed& work,
                       const ServerGroup& group) const override;
  Duration WaitBehind(TimePoint now,
                      const QueuedWork& ahead,
                      const ResourceNeed& own,
                      bool is_on_time,
                      const ServerGroup& group) const override;
};

/// @brief Assumes that the queue drains as fast as it did in the last seconds,
/// and the work that yields as fast as such work did.
///
/// Under overload, work that yields hardly moves. That is seen within a second
/// or two, after which its callers are told at once and not at their deadlines.
class LearnedForecast final : public WaitForecast {
 public:
  void OnDispatch(TimePoint now,
                  const QueuedWork& taken,
                  const QueuedWork& left) override;
  std::optional<Promise> promise() const override { return Promise{}; }
  ResourceTime TimeFor(TimePoint now,
                       const ResourceNeed& work,
                       const ServerGroup& group) const override;
  Duration WaitBehind(TimePoint now,
                      const QueuedWork& ahead,
                      const ResourceNeed& own,
                      bool is_on_time,
                      const ServerGroup& group) const override;

 private:
  /// Rates of the two resources, the time of servers in seconds.
  struct Rates {
    DrainRate server_time;
    DrainRate storage;

    void OnDispatch(TimePoint now,
                    const ResourceNeed& taken,
                    const ResourceNeed& left);
    ResourceTime TimeFor(TimePoint now,
                         const ResourceNeed& work,
                         const ServerGroup& group) const;
  };

  Rates all_;
  Rates yielding_;
};

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_WAIT_FORECAST_H_
