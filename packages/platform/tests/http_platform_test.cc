#include "gentianroute/platform/http_platform.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <criterion/criterion.h>

using gentianroute::EventLoop;
using gentianroute::FindHeader;
using gentianroute::HostListResult;
using gentianroute::HttpCall;
using gentianroute::HttpCallError;
using gentianroute::HttpCallId;
using gentianroute::HttpCallObserver;
using gentianroute::HttpClient;
using gentianroute::HttpHeaders;
using gentianroute::HttpPlatform;
using gentianroute::ReadResult;
using gentianroute::TableStatus;
using gentianroute::TransactResult;

namespace {

/// Answers every call at once with what the test has set.
class FakeClient final : public HttpClient {
 public:
  HttpCallId Call(HttpCall call,
                  std::unique_ptr<HttpCallObserver> observer) override {
    last_call_ = std::move(call);
    if (error_.has_value()) {
      observer->OnError(*error_, "as the test says");
      return HttpCallId{1};
    }
    observer->OnHead(status_, headers_);
    observer->OnBody(body_);
    observer->OnDone();
    return HttpCallId{1};
  }
  void Cancel(HttpCallId /*call*/) override {}
  void DiscardIdleConnections(std::string_view /*address*/,
                              std::uint16_t /*port*/) override {}

  HttpCall last_call_;
  std::optional<HttpCallError> error_;
  int status_ = 200;
  HttpHeaders headers_;
  std::string body_;
};

struct Fixture {
  EventLoop loop_;
  FakeClient client_;
  HttpPlatform platform_{loop_, client_, {"127.0.0.1", 1, {}}};

  TableStatus Transact() {
    TableStatus status = TableStatus::kUnknown;
    platform_.Transact(
        {}, [&](const TransactResult& result) { status = result.status; });
    return status;
  }
  HostListResult List() {
    HostListResult listed;
    platform_.List(
        [&](HostListResult listing) { listed = std::move(listing); });
    return listed;
  }
};

}  // namespace

// A claim whose write was lost is read back; one that was refused is not. The
// adapter must never call a write refused that the service may have taken.
Test(http_platform, transact_when_connection_breaks_after_writing_is_unknown) {
  Fixture fixture;
  fixture.client_.error_ = HttpCallError::kReset;
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
  fixture.client_.error_ = HttpCallError::kTruncated;
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
  fixture.client_.error_ = HttpCallError::kConnect;
  cr_assert(fixture.Transact() == TableStatus::kRefused);
}

Test(http_platform, transact_with_unreadable_answer_is_unknown) {
  Fixture fixture;
  fixture.client_.body_ = "<html>";
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
  fixture.client_.status_ = 500;
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
}

Test(http_platform, transact_refused_by_rate_limit_is_refused) {
  Fixture fixture;
  fixture.client_.status_ = 429;
  cr_assert(fixture.Transact() == TableStatus::kRefused);
}

Test(http_platform, transact_with_failed_condition_brings_present_row) {
  Fixture fixture;
  fixture.client_.status_ = 409;
  fixture.client_.body_ =
      R"({"conflicts":[{"table":"t","key":"k","value":"v","version":7}]})";
  TransactResult got;
  fixture.platform_.Transact(
      {}, [&](const TransactResult& result) { got = result; });
  cr_assert(got.status == TableStatus::kConditionFailed);
  cr_assert_eq(got.conflicts.at(0).version, 7U);
}

Test(http_platform, read_without_answer_says_nothing_about_rows) {
  Fixture fixture;
  fixture.client_.error_ = HttpCallError::kReset;
  bool answered = true;
  fixture.platform_.Read(
      {}, [&](const ReadResult& result) { answered = result.answered; });
  cr_assert_not(answered);
}

Test(http_platform, host_list_seen_before_is_asked_for_by_its_tag) {
  Fixture fixture;
  fixture.client_.headers_ = {{"etag", "\"5\""}};
  fixture.client_.body_ = R"({"hosts":[]})";
  cr_assert(fixture.List().changed);
  fixture.client_.status_ = 304;
  fixture.client_.body_ = "";
  const HostListResult again = fixture.List();
  cr_assert(again.answered);
  cr_assert_not(again.changed);
  cr_assert(FindHeader(fixture.client_.last_call_.headers, "if-none-match") ==
            "\"5\"");
}

Test(http_platform, host_list_that_cannot_be_read_is_no_answer) {
  Fixture fixture;
  fixture.client_.body_ = R"({"hosts":[{"name":"half"}]})";
  cr_assert_not(fixture.List().answered);
}
