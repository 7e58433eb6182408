// What the soak's promises find. A check that finds nothing proves nothing, so
// each of them is broken here once.

#include "invariant_checker.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using namespace gentianroute::soak;

namespace {

constexpr std::size_t kDaemon = 0;
const std::string kId = "r1";

/// One request at one daemon.
struct RequestFixture {
  InvariantChecker checker;
  SentRequest request;

  RequestFixture() {
    request.kind = RequestKind::kNonIdempotent;
    request.target = "/once/1";
    request.body = "body";
    request.service = "ledger";
    request.organisation = "family";
    request.daemon_start = 1;
    checker.OnDaemonStarts(kDaemon, 1);
  }
  void Send() { checker.OnRequestSent(kId, request); }
  HttpHeaders Fields() const {
    return {{"Gentianroute-Tenant", request.organisation}};
  }
  std::string Run() {
    return checker.OnRun(kId, request.service, "server", request.target,
                         request.body, Fields());
  }
  static ReceivedResponse Whole(int status,
                                const std::string& signature,
                                const std::string& body) {
    ReceivedResponse response;
    response.status = status;
    response.complete = true;
    response.body = body;
    if (!signature.empty()) {
      response.fields = {{"Gentianroute-Response-Signature", signature}};
    }
    return response;
  }
  ReceivedResponse Good(const std::string& signature) const {
    return Whole(200, signature, InvariantChecker::PlainBody(kId, signature));
  }
  std::string Stream(std::uint32_t from, std::uint32_t to) const {
    std::string text;
    for (std::uint32_t i = from; i <= to; ++i) {
      text += InvariantChecker::Event(kId, i, request.events);
    }
    return text;
  }
  std::size_t violations() const { return checker.violations().size(); }
};

/// The same with two stages, of two pieces and one.
struct StagesFixture : RequestFixture {
  SegmentCall first{kId, 0, 0, "stages", {}};
  SegmentCall second{kId, 0, 1, "stages", {}};
  SegmentCall reader{kId, 1, 0, "", {}};

  StagesFixture() {
    request.kind = RequestKind::kResumableStream;
    request.segment_counts = {2, 1};
    request.events = 3;
    request.stage_key = "stages";
    Send();
  }
};

}  // namespace

Test(invariant_checker, whole_answer_of_one_run_breaks_none) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, fixture.Good(fixture.Run()));
  cr_assert_eq(fixture.violations(), 0);
}

Test(invariant_checker, second_run_of_what_runs_once_breaks) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, refusal_of_what_has_run_breaks) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(503, "", ""));
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, run_after_refusal_breaks) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(503, "", ""));
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, answer_of_another_run_or_body_breaks) {
  RequestFixture fixture;
  fixture.Send();
  const std::string signature = fixture.Run();
  fixture.checker.OnResponse(kId, fixture.Good("stray"));
  cr_assert_eq(fixture.violations(), 1);
  fixture.checker.OnResponse(kId,
                             RequestFixture::Whole(200, signature, "half"));
  cr_assert_eq(fixture.violations(), 2);
}

Test(invariant_checker, answer_with_the_id_of_another_request_breaks) {
  RequestFixture fixture;
  fixture.Send();
  ReceivedResponse response = fixture.Good(fixture.Run());
  response.fields.push_back({"Gentianroute-Request-Id", "r2"});
  fixture.checker.OnResponse(kId, response);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, run_with_other_bytes_service_or_organisation_breaks) {
  RequestFixture fixture;
  fixture.request.kind = RequestKind::kIdempotent;
  fixture.Send();
  const auto run = [&](std::string_view service, std::string_view body,
                       const HttpHeaders& fields) {
    fixture.checker.OnRun(kId, service, "server", fixture.request.target, body,
                          fields);
  };
  run("plain", "body", fixture.Fields());
  cr_assert_eq(fixture.violations(), 1);
  run("ledger", "other", fixture.Fields());
  cr_assert_eq(fixture.violations(), 2);
  run("ledger", "body", {{"Gentianroute-Tenant", "forged"}});
  cr_assert_eq(fixture.violations(), 3);
  HttpHeaders with_key = fixture.Fields();
  with_key.push_back({"Gentianroute-Key", "secret"});
  run("ledger", "body", with_key);
  cr_assert_eq(fixture.violations(), 4);
}

Test(invariant_checker, run_that_nobody_asked_for_breaks) {
  RequestFixture fixture;
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, cut_answer_breaks_unless_the_daemon_was_killed) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
  fixture.Send();
  fixture.checker.OnDaemonEnds(kDaemon, true);
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, request_that_runs_in_a_planned_stop_may_not_be_cut) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.checker.OnDaemonEnds(kDaemon, false);
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker,
     stream_with_a_gap_breaks_and_one_cut_by_its_server_does_not) {
  RequestFixture fixture;
  fixture.request.kind = RequestKind::kNonResumableStream;
  fixture.request.events = 4;
  fixture.Send();
  fixture.checker.AllowIncompleteResponse(kId);
  ReceivedResponse cut;
  cut.status = 200;
  cut.body = fixture.Stream(1, 2);
  fixture.checker.OnResponse(kId, cut);
  cr_assert_eq(fixture.violations(), 0);
  cut.body += fixture.Stream(4, 4);
  fixture.checker.OnResponse(kId, cut);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, stream_that_ends_as_complete_too_early_breaks) {
  RequestFixture fixture;
  fixture.request.kind = RequestKind::kNonResumableStream;
  fixture.request.events = 4;
  fixture.Send();
  fixture.checker.AllowIncompleteResponse(kId);
  const std::string signature = fixture.Run();
  fixture.checker.OnResponse(
      kId, RequestFixture::Whole(200, signature, fixture.Stream(1, 3)));
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, route_that_was_served_before_may_not_be_unknown) {
  RequestFixture fixture;
  fixture.request.kind = RequestKind::kIdempotent;
  fixture.request.route_version = 5;
  fixture.Send();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(404, "", ""));
  cr_assert_eq(fixture.violations(), 0);
  fixture.Send();
  fixture.checker.OnResponse(kId, fixture.Good(fixture.Run()));
  fixture.Send();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(404, "", ""));
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, key_that_was_known_to_be_gone_may_not_run) {
  RequestFixture fixture;
  fixture.request.kind = RequestKind::kIdempotent;
  fixture.request.route_version = 5;
  fixture.Send();
  fixture.checker.OnResponse(kId, fixture.Good(fixture.Run()));
  fixture.request.key_removed_version = 4;
  fixture.Send();
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, unanswered_request_breaks) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnNoResponse(kId);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, piece_with_all_its_own_inputs_breaks_none) {
  StagesFixture fixture;
  fixture.checker.OnSegmentCall(fixture.first);
  fixture.checker.OnSegmentCall(fixture.second);
  fixture.reader.inputs = {fixture.checker.AddResult("a", fixture.first),
                           fixture.checker.AddResult("a", fixture.second)};
  fixture.checker.OnSegmentCall(fixture.reader);
  cr_assert_eq(fixture.violations(), 0);
}

Test(invariant_checker, piece_with_another_key_or_number_breaks) {
  StagesFixture fixture;
  fixture.first.key = "other";
  fixture.checker.OnSegmentCall(fixture.first);
  cr_assert_eq(fixture.violations(), 1);
  fixture.second.segment = 2;
  fixture.checker.OnSegmentCall(fixture.second);
  cr_assert_eq(fixture.violations(), 2);
}

Test(invariant_checker, input_that_is_missing_doubled_or_anothers_breaks) {
  StagesFixture fixture;
  const std::string one = fixture.checker.AddResult("a", fixture.first);
  fixture.reader.inputs = {one};
  fixture.checker.OnSegmentCall(fixture.reader);
  cr_assert_eq(fixture.violations(), 1);
  fixture.reader.inputs = {one, fixture.checker.AddResult("a", fixture.first)};
  fixture.checker.OnSegmentCall(fixture.reader);
  cr_assert_geq(fixture.violations(), 2);
  const std::size_t before = fixture.violations();
  SegmentCall foreign = fixture.second;
  foreign.request = "r2";
  fixture.reader.inputs = {one, fixture.checker.AddResult("a", foreign)};
  fixture.checker.OnSegmentCall(fixture.reader);
  cr_assert_eq(fixture.violations(), before + 1);
}
