#include "gentianroute/routing/event_cutter.h"

#include <criterion/criterion.h>

using gentianroute::routing::EventCutter;

Test(event_cutter, whole_events_pass_byte_for_byte) {
  EventCutter cutter;
  cr_assert(cutter.Feed("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
  cr_assert(cutter.last_id() == "1");
}

// A server breaks off in the middle of an event and another goes on behind the
// last whole one: the caller must not get the event in two halves.
Test(event_cutter, half_an_event_is_kept_back) {
  EventCutter cutter;
  cr_assert(cutter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  cr_assert(cutter.last_id() == "1");
  cutter.DropRest();
  cr_assert(cutter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  cr_assert(cutter.last_id() == "2");
}

Test(event_cutter, event_split_over_reads_is_put_together) {
  EventCutter cutter;
  cr_assert(cutter.Feed("id: 7\nda").empty());
  cr_assert(cutter.Feed("ta: x\n").empty());
  cr_assert(cutter.Feed("\n") == "id: 7\ndata: x\n\n");
}

Test(event_cutter, carriage_returns_end_lines_too) {
  EventCutter cutter;
  cr_assert(cutter.Feed("id:3\r\ndata: x\r\n\r\nid") ==
            "id:3\r\ndata: x\r\n\r\n");
  cr_assert(cutter.last_id() == "3");
}
