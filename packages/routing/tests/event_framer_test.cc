#include "gentianroute/routing/event_framer.h"

#include <criterion/criterion.h>

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
  framer.DropPartial();
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
