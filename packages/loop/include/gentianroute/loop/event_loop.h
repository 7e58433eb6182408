#ifndef GENTIANROUTE_LOOP_EVENT_LOOP_H_
#define GENTIANROUTE_LOOP_EVENT_LOOP_H_

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace gentianroute {

using TimerId = Id<struct LoopTimerTag>;

/// @brief Single-threaded event loop for h2o sockets, Cap'n Proto promises and
/// timers.
///
/// h2o 2.2.5 supports only one duration per timer list. Timers are therefore
/// kept in a map ordered by deadline, and the earliest one limits how long h2o
/// polls.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @brief Monotonic time since the loop was created.
  TimePoint Now() const;
  /// @brief Wall-clock time. Only for timestamps that other processes read.
  UnixMicros WallTime() const;

  /// @brief Runs the callback once, not before `due`.
  TimerId At(TimePoint due, Callback callback);
  TimerId After(Duration delay, Callback callback);
  /// @brief Runs the callback periodically until cancelled.
  TimerId Every(Duration period, Callback callback);
  void Cancel(TimerId timer);

  /// @brief Blocks signals, so that they stay pending until OnSignal() is
  /// called for them.
  ///
  /// Call it first in main(): a signal to stop or to reload the settings that
  /// arrives during startup would otherwise terminate the process by its
  /// default action, which looks like a crash.
  static void BlockSignals(std::initializer_list<int> signals);
  /// @brief Runs the callback each time the signal arrives. Blocks the
  /// signal and reads it from a signalfd.
  void OnSignal(int signal, Callback callback);

  /// @brief Accepts connections until it is destroyed.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// @return the bound port, also if port 0 was requested
    virtual std::uint16_t port() const = 0;
  };
  /// @throws std::runtime_error if the address can't be bound; the message
  /// contains the address
  std::unique_ptr<Listener> Listen(
      std::string_view address,
      std::uint16_t port,
      std::function<void(st_h2o_socket_t*)> on_accept);

  /// @brief Runs until Stop().
  void Run();
  void Stop();

  st_h2o_evloop_t* h2o() { return h2o_; }
  kj::WaitScope& wait_scope() { return *wait_scope_; }

 private:
  class H2oEventPort;

  void RunDueTimers();
  std::int32_t MaxWaitMilliseconds() const;

  st_h2o_evloop_t* h2o_;
  std::int64_t started_nanos_;
  std::unique_ptr<H2oEventPort> event_port_;
  std::unique_ptr<kj::EventLoop> kj_loop_;
  std::unique_ptr<kj::WaitScope> wait_scope_;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::multimap<TimePoint, std::pair<TimerId, Callback>> timers_;
  std::unordered_map<
      TimerId,
      std::multimap<TimePoint, std::pair<TimerId, Callback>>::iterator>
      timer_index_;
  std::unordered_map<TimerId, std::pair<Duration, Callback>> periodic_;
  std::unordered_map<int, Callback> signals_;
  std::uint64_t next_timer_ = 1;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_EVENT_LOOP_H_
