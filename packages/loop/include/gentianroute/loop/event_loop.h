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

/// @brief The one loop on the one thread: h2o's sockets, Cap'n Proto's promises
/// and timers.
///
/// h2o 2.2.5 keeps one duration per timer list, so deadlines live here, in an
/// ordered map, and the next one bounds h2o's wait.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @brief Time since the loop was made; monotonic.
  TimePoint Now() const;
  /// @brief WallTime-clock time, only for rows that others read.
  UnixMicros WallTime() const;

  /// @brief Calls back once, not before `due`.
  TimerId At(TimePoint due, Callback callback);
  TimerId After(Duration delay, Callback callback);
  /// @brief Calls back again and again until cancelled.
  TimerId Every(Duration period, Callback callback);
  void Cancel(TimerId timer);

  /// @brief Lets signals wait until OnSignal() watches them.
  ///
  /// For the first thing that a program does: one that is told to stop, or that
  /// its settings have changed, in the moments of its start would end by the
  /// signal, as if it had failed.
  static void BlockSignals(std::initializer_list<int> signals);
  /// @brief Calls back on a signal; the signal is blocked otherwise.
  void OnSignal(int signal, Callback callback);

  /// @brief Accepts connections until `Listener` is destroyed.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// @return the port in use, also where 0 was asked for
    virtual std::uint16_t port() const = 0;
  };
  /// @throws std::runtime_error if the address can't be used; the text names it
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
