#include "gentianroute/decision/poll_schedule.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using gentianroute::PollSchedule;
using gentianroute::TimePoint;
using std::chrono::seconds;

namespace {

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back("host" + std::to_string(i));
  }
  return names;
}

}  // namespace

Test(poll_schedule, ninety_daemons_agree_on_three_pollers) {
  const auto names = Names(90);
  int pollers = 0;
  for (const std::string& name : names) {
    PollSchedule schedule({name});
    schedule.SetPeers(names);
    pollers += schedule.is_poller() ? 1 : 0;
  }
  cr_assert_eq(pollers, 3);
}

// All three pollers are dead but still listed, so no daemon reads the log and
// changes don't arrive. The others must poll when they have learned of no read
// for some time, and at different times.
Test(poll_schedule, no_known_read_makes_other_daemons_poll) {
  const auto names = Names(90);
  int polls = 0;
  for (const std::string& name : names) {
    PollSchedule schedule({name});
    schedule.SetPeers(names);
    if (schedule.is_poller()) {
      continue;
    }
    schedule.OnPeerReadAge(TimePoint{}, seconds(0));
    cr_assert(!schedule.IsPollDue(TimePoint{} + seconds(3)));
    int own = 0;
    for (int second = 4; second < 24; ++second) {
      own += schedule.IsPollDue(TimePoint{} + seconds(second)) ? 1 : 0;
    }
    cr_assert(own >= 2 && own <= 5);
    polls += own;
  }
  cr_assert(polls < 87 * 20 / 4);
}
