#include <signal.h>

#include <memory>
#include <string>
#include <vector>

#include "gentianroute/loop/event_loop.h"

#include <criterion/criterion.h>

using gentianroute::Duration;
using gentianroute::EventLoop;
using gentianroute::TimePoint;
using gentianroute::TimerId;

TestSuite(event_loop);

Test(event_loop, timers_out_of_order_run_by_due_time) {
  EventLoop loop;
  std::string order;
  const TimePoint now = loop.Now();
  loop.At(now + std::chrono::milliseconds(20), [&] { loop.Stop(); });
  loop.At(now + std::chrono::milliseconds(10), [&] { order += "b"; });
  loop.At(now + std::chrono::milliseconds(5), [&] { order += "a"; });
  loop.Run();
  cr_assert_eq(order, "ab");
}

Test(event_loop, timer_cancelled_by_timer_due_at_once_does_not_run) {
  EventLoop loop;
  bool ran = false;
  TimerId second;
  const TimePoint due = loop.Now();
  loop.At(due, [&] { loop.Cancel(second); });
  second = loop.At(due, [&] { ran = true; });
  loop.After(std::chrono::milliseconds(5), [&] { loop.Stop(); });
  loop.Run();
  cr_assert_not(ran);
}

Test(event_loop, periodic_timer_cancelled_in_its_callback_stops) {
  EventLoop loop;
  int runs = 0;
  TimerId timer;
  timer = loop.Every(std::chrono::milliseconds(1), [&] {
    if (++runs == 3) {
      loop.Cancel(timer);
    }
  });
  loop.After(std::chrono::milliseconds(30), [&] { loop.Stop(); });
  loop.Run();
  cr_assert_eq(runs, 3);
}

// A signal to stop or to reload the settings may arrive during startup, before
// its callback is registered. It must not terminate the process.
Test(event_loop, signal_before_registration_runs_the_callback_later) {
  EventLoop::BlockSignals({SIGHUP});
  raise(SIGHUP);
  EventLoop loop;
  bool called = false;
  loop.OnSignal(SIGHUP, [&called] { called = true; });
  loop.After(std::chrono::milliseconds(50), [&loop] { loop.Stop(); });
  loop.Run();
  cr_assert(called);
}
