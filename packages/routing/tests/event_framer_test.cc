#include "gentianroute/routing/event_framer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <string>

using gentianroute::routing::EventFramer;

Test(event_framer, complete_events_pass_unchanged) {
  EventFramer framer;
  cr_assert(framer.Feed("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
  cr_assert(framer.last_id() == "1");
}

// A server fails in the middle of an event and another one resumes after the
// last complete event. The caller must not get an event assembled from both.
Test(event_framer, partial_event_is_held_back) {
  EventFramer framer;
  cr_assert(framer.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  cr_assert(framer.last_id() == "1");
  framer.BeginRun("1");
  cr_assert(framer.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  cr_assert(framer.last_id() == "2");
}

Test(event_framer, event_split_over_reads_is_reassembled) {
  EventFramer framer;
  cr_assert(framer.Feed("id: 7\nda").empty());
  cr_assert(framer.Feed("ta: x\n").empty());
  cr_assert(framer.Feed("\n") == "id: 7\ndata: x\n\n");
}

Test(event_framer, carriage_returns_end_lines_too) {
  EventFramer framer;
  cr_assert(framer.Feed("id:3\r\ndata: x\r\n\r\nid") ==
            "id:3\r\ndata: x\r\n\r\n");
  cr_assert(framer.last_id() == "3");
}

// Guards against a server that sends bytes without end in place of an event.
Test(event_framer, event_without_end_is_overlong) {
  EventFramer framer;
  framer.Feed("id: 1\ndata: a\n\n");
  framer.Feed(std::string(EventFramer::kMaxEventBytes, 'a'));
  cr_assert_not(framer.is_overlong());
  framer.Feed("a");
  cr_assert(framer.is_overlong());
}

namespace {

const std::string kFirst = "id: 4\ndata: a\n\n";
const std::string kSecond = "id: 6\ndata: b\n\n";
const std::string kThird = "id: 9\ndata: c\n\n";

/// A framer that has returned the first two events.
EventFramer FramerAfterTwo() {
  EventFramer framer;
  framer.BeginRun("");
  cr_assert(framer.Feed(kFirst + kSecond) == kFirst + kSecond);
  framer.BeginRun(framer.last_id());
  return framer;
}

}  // namespace

// Guards against an event that a caller gets twice.
Test(event_framer, server_repeats_events_they_are_skipped) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed(kFirst).empty());
  cr_assert(framer.IsBehind());
  cr_assert(framer.Feed(kSecond + kThird) == kThird);
  cr_assert_not(framer.IsBehind());
  cr_assert_not(framer.IsOtherRun());
  cr_assert_eq(framer.events(), 3);
}

// Guards against events of two runs in one answer.
Test(event_framer, server_sends_another_event_under_the_last_id_it_is_told) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed("id: 6\ndata: z\n\n" + kThird).empty());
  cr_assert(framer.IsOtherRun());
}

// Guards against the same where the other run has no event with the last id.
Test(event_framer, server_passes_over_the_last_id_it_is_told) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed(kFirst + kThird).empty());
  cr_assert(framer.IsOtherRun());
}

// Guards against a number that goes back after a server has gone on.
Test(event_framer, server_goes_back_after_it_went_on_it_is_told) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed(kThird + kFirst) == kThird);
  cr_assert(framer.IsOtherRun());
}

// Guards against refusing a repeated event for what its server adds to it.
Test(event_framer, repeated_event_has_another_first_line_it_is_the_same) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed("weights: 7\r\nid: 6\r\ndata: b\r\n\r\n" + kThird) ==
            kThird);
}

Test(event_framer, server_goes_on_at_once_events_without_ids_pass) {
  EventFramer framer = FramerAfterTwo();
  cr_assert(framer.Feed(": kept alive\n\n" + kThird) ==
            ": kept alive\n\n" + kThird);
}

// Guards against taking a stream up before its greatest event.
Test(event_framer, first_server_goes_back_events_pass_and_greatest_id_counts) {
  EventFramer framer;
  framer.BeginRun("");
  cr_assert(framer.Feed(kSecond + kFirst) == kSecond + kFirst);
  cr_assert(framer.last_id() == "6");
}

// Guards against an event of two runs at any byte at which a server breaks off,
// for each way to end a line, and however the rest is cut into reads.
Test(event_framer, server_breaks_off_at_any_byte_events_are_whole) {
  const std::string events[] = {
      "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 10\ndata: z\n\n",
      "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n"
      "id: 10\r\ndata: z\r\n\r\n",
      "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 10\r\ndata: z\n\r\n",
  };
  for (const std::string& whole : events) {
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      for (std::size_t read = 1; read <= whole.size(); ++read) {
        EventFramer framer;
        framer.BeginRun("");
        std::string got;
        for (std::size_t at = 0; at < cut; at += read) {
          got += framer.Feed(whole.substr(at, std::min(read, cut - at)));
        }
        const std::size_t passed = got.size();
        cr_assert(whole.starts_with(got));
        framer.BeginRun(framer.last_id());
        for (std::size_t at = passed; at < whole.size(); at += read) {
          got += framer.Feed(whole.substr(at, read));
        }
        cr_assert(got == whole, "cut %zu, reads of %zu: %s", cut, read,
                  got.c_str());
        cr_assert_not(framer.IsOtherRun());
      }
    }
  }
}
