#include "gentianroute/observe/log_timeline.h"

#include <criterion/criterion.h>

using namespace gentianroute;

namespace {

constexpr const char* kAdmitted =
    "time=2026-12-03T01:00:00.100Z level=info event=request_admitted id=r1 "
    "route=drafts organisation=family version=7 pieces=2,16 home=north "
    "left_ms=5900 stages_expected_ms=410";
constexpr const char* kHandedOut =
    "time=2026-12-03T01:00:00.101Z level=info event=stage_handed id=r1 stage=0 "
    "service=encode data_centre=north scheduler=edge-2 pieces=2";
constexpr const char* kSent =
    "time=2026-12-03T01:00:00.500Z level=info event=request_sent id=r1 "
    "server=m-1 data_centre=north server_calls=3 server_tokens=9000 "
    "score_ms=40 left_ms=5500";

/// Timeline of request r1, and a helper that adds its end.
struct TimelineFixture {
  LogTimeline timeline{"r1"};

  void End(const std::string& outcome, const std::string& detail) {
    timeline.Add("edge-1",
                 "time=2026-12-03T01:00:01.000Z level=info event=request_end "
                 "id=r1 outcome=" +
                     outcome + " status=503 detail=\"" + detail + "\"");
  }
  bool CauseContains(std::string_view text) const {
    return timeline.Diagnose().cause.find(text) != std::string::npos;
  }
};

}  // namespace

Test(log_timeline, quoted_values_are_unescaped) {
  const auto line = ParseLogLine(
      "edge-1",
      "12.5 s edge-1: time=T level=info event=x detail=\"a \\\"b\\\" c\" n=1");
  cr_assert(line.has_value());
  cr_assert(line->Value("detail") == "a \"b\" c");
  cr_assert(line->Value("n") == "1");
  cr_assert(line->source == "edge-1 12.5 s edge-1:");
}

Test(log_timeline, other_lines_are_rejected) {
  cr_assert_not(ParseLogLine("f", "listening").has_value());
  cr_assert_not(ParseLogLine("f", "time=now").has_value());
}

Test(log_timeline, lines_of_several_daemons_are_sorted_by_time) {
  TimelineFixture fixture;
  fixture.timeline.Add("edge-1", kSent);
  fixture.timeline.Add(
      "edge-2",
      "time=2026-12-03T01:00:00.200Z level=info event=stage_call id=r9 "
      "requests=r9,r1 service=encode server=e-1 pieces=10");
  fixture.timeline.Add("edge-1", kAdmitted);
  fixture.timeline.Add("edge-2",
                       "time=2026-12-03T01:00:00.300Z level=info "
                       "event=stage_call id=r9 requests=r9,r11 service=encode");
  const RequestDiagnosis diagnosis = fixture.timeline.Diagnose();
  cr_assert_eq(diagnosis.steps.size(), 3);
  cr_assert(diagnosis.steps[0].event == "request_admitted");
  cr_assert(diagnosis.steps[1].event == "stage_call");
  cr_assert(diagnosis.steps[2].event == "request_sent");
}

// A request is refused after 0.9 s. The stage that it waited for was never
// reported as done, so the cause must name that stage rather than the refusal.
Test(log_timeline, unfinished_stage_is_named_as_the_cause) {
  TimelineFixture fixture;
  fixture.timeline.Add("edge-1", kAdmitted);
  fixture.timeline.Add("edge-1", kHandedOut);
  fixture.End("deadline_too_short", "a stage can't be done in time");
  cr_assert(fixture.CauseContains("Stage 0 (encode in north, 2 pieces)"));
  cr_assert(fixture.CauseContains("'edge-2'"));
}

// A stream breaks because its server crashed, which only a server_seen line of
// another daemon shows.
Test(log_timeline, lost_server_is_named_for_a_broken_stream) {
  TimelineFixture fixture;
  fixture.timeline.Add("edge-1", kAdmitted);
  fixture.timeline.Add("edge-1", kSent);
  fixture.End("stream_broken", "the server's answer broke off");
  fixture.timeline.Add("edge-2",
                       "time=2026-12-03T01:00:02.000Z level=info "
                       "event=server_seen server=m-1 version=9 state=gone");
  cr_assert(fixture.CauseContains("m-1 in north"));
  cr_assert(fixture.CauseContains("seen as gone"));
}

Test(log_timeline, refusal_on_arrival_is_reported_as_not_run) {
  TimelineFixture fixture;
  fixture.End("overloaded", "the stages can't be done in time");
  const RequestDiagnosis diagnosis = fixture.timeline.Diagnose();
  cr_assert(diagnosis.cause.find("has not run") != std::string::npos);
  cr_assert_eq(diagnosis.missing.size(), 1);
}

// The daemon was killed, so its log ends in the middle of the request.
Test(log_timeline, daemon_restart_explains_a_missing_end) {
  TimelineFixture fixture;
  fixture.timeline.Add("edge-1", kAdmitted);
  fixture.timeline.Add("edge-1",
                       "time=2026-12-03T01:00:03.000Z level=info event=started "
                       "daemon=edge-1");
  cr_assert(
      fixture.CauseContains("daemon restarted at 2026-12-03T01:00:03.000Z"));
  cr_assert_geq(fixture.timeline.Diagnose().missing.size(), 1);
}

Test(log_timeline, dropped_lines_are_reported_as_missing) {
  TimelineFixture fixture;
  fixture.timeline.Add("edge-1",
                       "time=2026-12-03T01:00:03.000Z level=warning "
                       "event=log_lines_dropped lines=12");
  const RequestDiagnosis diagnosis = fixture.timeline.Diagnose();
  cr_assert(diagnosis.steps.empty());
  cr_assert_eq(diagnosis.missing.size(), 2);
}
