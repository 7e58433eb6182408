// Violates each guarantee that the soak checks once, and expects the checker to
// report it: a check that can't fail would prove nothing.

#include "invariant_checker.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using namespace gentianroute::soak;

namespace {

constexpr std::size_t kDaemon = 0;
const std::string kId = "r1";

/// A non-idempotent request at one daemon.
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
      text += InvariantChecker::Event(kId, i, request.events, "v1");
    }
    return text;
  }
  std::size_t violations() const { return checker.violations().size(); }
};

/// A resumable stream of four events that broke after the second one, and the
/// request that takes it up.
struct BrokenStreamFixture : RequestFixture {
  const std::string taking_up = "r2";

  BrokenStreamFixture() {
    request.kind = RequestKind::kResumableStream;
    request.events = 4;
    Send();
    Run();
    checker.AllowIncompleteResponse(kId);
    ReceivedResponse cut = Whole(200, "", Stream(1, 2) + "id: 3");
    cut.complete = false;
    checker.OnResponse(kId, cut);
    request.begun_by = kId;
    checker.OnRequestSent(taking_up, request);
    signature = checker.OnRun(taking_up, request.service, "server",
                              request.target, request.body, Fields());
  }
  std::string Next(std::uint32_t number,
                   std::string_view version = "v1") const {
    return InvariantChecker::Event(taking_up, number, request.events, version);
  }
  void EndWith(const std::string& body) {
    checker.OnResponse(taking_up, Whole(200, signature, body));
  }

  std::string signature;
};

/// A resumable stream after two stages, of two segments and of one.
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

Test(invariant_checker, complete_response_of_one_run_is_accepted) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, fixture.Good(fixture.Run()));
  cr_assert_eq(fixture.violations(), 0);
}

Test(invariant_checker, second_run_of_non_idempotent_request_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, refusal_after_run_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(503, "", ""));
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, run_after_refusal_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, RequestFixture::Whole(503, "", ""));
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, response_with_wrong_signature_or_body_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  const std::string signature = fixture.Run();
  fixture.checker.OnResponse(kId, fixture.Good("stray"));
  cr_assert_eq(fixture.violations(), 1);
  fixture.checker.OnResponse(kId,
                             RequestFixture::Whole(200, signature, "half"));
  cr_assert_eq(fixture.violations(), 2);
}

Test(invariant_checker, response_with_id_of_another_request_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  ReceivedResponse response = fixture.Good(fixture.Run());
  response.fields.push_back({"Gentianroute-Request-Id", "r2"});
  fixture.checker.OnResponse(kId, response);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker,
     run_with_wrong_body_service_or_organisation_is_reported) {
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

Test(invariant_checker, run_of_unknown_request_is_reported) {
  RequestFixture fixture;
  fixture.Run();
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker,
     incomplete_response_is_reported_unless_daemon_was_killed) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
  fixture.Send();
  fixture.checker.OnDaemonEnds(kDaemon, true);
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker,
     incomplete_response_of_run_in_planned_stop_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  fixture.Run();
  fixture.checker.OnDaemonEnds(kDaemon, false);
  fixture.checker.OnResponse(kId, ReceivedResponse{});
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker,
     stream_with_gap_is_reported_and_one_truncated_by_its_server_is_not) {
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
  fixture.Send();
  fixture.checker.AllowIncompleteResponse(kId);
  cut.body += fixture.Stream(4, 4);
  fixture.checker.OnResponse(kId, cut);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, stream_that_ends_early_as_complete_is_reported) {
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

Test(invariant_checker,
     unknown_route_after_its_version_was_served_is_reported) {
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

Test(invariant_checker, run_with_key_known_as_removed_is_reported) {
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

Test(invariant_checker, request_without_response_is_reported) {
  RequestFixture fixture;
  fixture.Send();
  fixture.checker.OnNoResponse(kId);
  cr_assert_eq(fixture.violations(), 1);
}

Test(invariant_checker, segment_with_all_its_inputs_is_accepted) {
  StagesFixture fixture;
  fixture.checker.OnSegmentCall(fixture.first);
  fixture.checker.OnSegmentCall(fixture.second);
  fixture.reader.inputs = {fixture.checker.AddResult("a", fixture.first),
                           fixture.checker.AddResult("a", fixture.second)};
  fixture.checker.OnSegmentCall(fixture.reader);
  cr_assert_eq(fixture.violations(), 0);
}

Test(invariant_checker, segment_with_wrong_key_or_number_is_reported) {
  StagesFixture fixture;
  fixture.first.key = "other";
  fixture.checker.OnSegmentCall(fixture.first);
  cr_assert_eq(fixture.violations(), 1);
  fixture.second.segment = 2;
  fixture.checker.OnSegmentCall(fixture.second);
  cr_assert_eq(fixture.violations(), 2);
}

Test(invariant_checker, missing_duplicate_or_foreign_input_is_reported) {
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

Test(invariant_checker, stream_taken_up_to_its_end_is_accepted_and_counted) {
  BrokenStreamFixture fixture;
  cr_assert_eq(fixture.checker.EventsSeen(kId), 2);
  fixture.EndWith(fixture.Next(3) + fixture.Next(4));
  cr_assert_eq(fixture.violations(), 0);
  cr_assert_eq(fixture.checker.taken_up(), 1);
  cr_assert_eq(fixture.checker.went_on(), 1);
}

Test(invariant_checker, refused_stream_counts_as_taken_up_but_not_as_gone_on) {
  BrokenStreamFixture fixture;
  fixture.checker.OnResponse(fixture.taking_up,
                             RequestFixture::Whole(503, "", ""));
  cr_assert_eq(fixture.violations(), 0);
  cr_assert_eq(fixture.checker.taken_up(), 1);
  cr_assert_eq(fixture.checker.went_on(), 0);
}

// Guards against streams whose parts come from two software versions.
Test(invariant_checker, stream_taken_up_at_another_version_is_reported) {
  BrokenStreamFixture fixture;
  fixture.EndWith(fixture.Next(3, "v2") + fixture.Next(4, "v2"));
  cr_assert_eq(fixture.violations(), 1);
}

// Guards against a daemon that goes on at another version in one response.
Test(invariant_checker, version_that_changes_within_a_response_is_reported) {
  BrokenStreamFixture fixture;
  fixture.EndWith(fixture.Next(3) + fixture.Next(4, "v2"));
  cr_assert_eq(fixture.violations(), 1);
}

// Guards against events that are lost or come twice where a stream goes on,
// and against an end that only looks whole.
Test(invariant_checker, missing_repeated_or_reordered_event_is_reported) {
  using Numbers = std::vector<std::uint32_t>;
  for (const Numbers& numbers :
       {Numbers{4}, {2, 3, 4}, {3, 3, 4}, {4, 3}, {3}}) {
    BrokenStreamFixture fixture;
    std::string body;
    for (const std::uint32_t number : numbers) {
      body += fixture.Next(number);
    }
    fixture.EndWith(body);
    cr_assert_eq(fixture.violations(), 1);
  }
}
