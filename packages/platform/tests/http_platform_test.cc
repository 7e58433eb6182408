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

/// Answers each call immediately with the response or error that the test has
/// set.
class FakeClient final : public HttpClient {
 public:
  HttpCallId Call(HttpCall call,
                  std::unique_ptr<HttpCallObserver> observer) override {
    last_call_ = std::move(call);
    if (error_.has_value()) {
      observer->OnError(*error_, "error set by the test");
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

// Guards against reporting a write as refused although the service may have
// applied it: a claim is read back only if the outcome of its write is unknown.
Test(http_platform, transact_when_connection_breaks_after_writing_is_unknown) {
  Fixture fixture;
  fixture.client_.error_ = HttpCallError::kReset;
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
  fixture.client_.error_ = HttpCallError::kTruncated;
  cr_assert(fixture.Transact() == TableStatus::kUnknown);
  fixture.client_.error_ = HttpCallError::kConnect;
  cr_assert(fixture.Transact() == TableStatus::kRefused);
}

Test(http_platform, transact_with_malformed_answer_is_unknown) {
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

Test(http_platform, transact_with_failed_condition_returns_current_row) {
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

Test(http_platform, read_without_answer_is_not_answered) {
  Fixture fixture;
  fixture.client_.error_ = HttpCallError::kReset;
  bool answered = true;
  fixture.platform_.Read(
      {}, [&](const ReadResult& result) { answered = result.answered; });
  cr_assert_not(answered);
}

Test(http_platform, host_list_seen_before_is_requested_with_its_etag) {
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

Test(http_platform, malformed_host_list_is_not_answered) {
  Fixture fixture;
  for (const char* body : {"", "[]", "{}", R"({"hosts":1})", R"({"hosts":[)"}) {
    fixture.client_.body_ = body;
    cr_assert_not(fixture.List().answered, "%s", body);
  }
}

// Guards against one odd entry that stops daemons from following the list, or
// gives a host a port where nothing listens.
Test(http_platform, odd_hosts_are_passed_over_and_the_others_hold) {
  constexpr int kDepth = 100'000;
  const std::string sound =
      R"({"name":"sound","address":"10.0.0.1","port":80,"pool":"p",)"
      R"("data_centre":"d","region":"r","incarnation":1})";
  const auto with_port = [&sound](const std::string& port) {
    std::string host = sound;
    return host.replace(host.find(":80"), 3, ":" + port);
  };
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& odd :
       {std::string(R"({"name":"half"})"), std::string("7"), nested,
        with_port(nested), with_port("70000"), with_port("0"), with_port("-1"),
        with_port("1e300"), with_port("null"), with_port("\"80\"")}) {
    Fixture fixture;
    fixture.client_.body_ = R"({"hosts":[)" + odd + "," + sound + "]}";
    const HostListResult listed = fixture.List();
    cr_assert(listed.answered, "%.100s", odd.c_str());
    cr_assert_eq(listed.hosts.size(), 1, "%.100s", odd.c_str());
    cr_assert_eq(listed.hosts.front().name, "sound");
  }
}
