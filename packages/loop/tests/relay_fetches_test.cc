#include "gentianroute/loop/relay_fetches.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>

#include "gentianroute/loop/relay_server.h"

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// A server whose handler is set by the test, and a client for it.
struct FetchFixture {
  EventLoop loop;
  RelayServer::Handler handler;
  RelayServer server{
      loop,
      {"127.0.0.1", 0, [] { return CallerLimits{}; }},
      [this](RelayExchangePtr exchange) { handler(std::move(exchange)); }};
  RelayClient client{loop};
  RelayFetches fetches{loop, client};

  std::optional<RelayFetchResult> Fetch(std::uint16_t port) {
    constexpr Duration kTimeLimit = milliseconds(300);
    std::optional<RelayFetchResult> received;
    RelayCall call;
    call.endpoint = {"127.0.0.1", port};
    call.message = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    fetches.Start(std::move(call), kTimeLimit, [&](RelayFetchResult result) {
      received = std::move(result);
      loop.Stop();
    });
    loop.After(std::chrono::seconds(5), [this] { loop.Stop(); });
    loop.Run();
    return received;
  }
};

}  // namespace

Test(relay_fetches, complete_response_is_delivered) {
  FetchFixture fixture;
  fixture.handler = [](const RelayExchangePtr& exchange) {
    exchange->Respond(200, {}, "all");
  };
  const auto result = fixture.Fetch(fixture.server.port());
  cr_assert(result->complete);
  cr_assert_eq(result->head.status, 200);
  cr_assert(result->body == "all");
}

Test(relay_fetches, failed_call_reports_its_failure) {
  FetchFixture fixture;
  fixture.handler = [](const RelayExchangePtr& exchange) {
    exchange->Begin(200, {});
    exchange->Write("part");
    exchange->Abort();
  };
  const auto truncated = fixture.Fetch(fixture.server.port());
  cr_assert_not(truncated->complete);
  cr_assert(truncated->failure.has_value());
  const std::uint16_t port = fixture.server.port();
  fixture.server.StopAccepting();
  const auto refused = fixture.Fetch(port);
  cr_assert(refused->failure == RelayFailure::kNotSent);
}

// A server accepts a request and never responds. The caller must be notified
// once, and the connection closed, so that the server can stop working on it.
Test(relay_fetches, unresponsive_server_times_out_and_is_disconnected) {
  FetchFixture fixture;
  RelayExchangePtr held;
  bool closed = false;
  fixture.handler = [&](RelayExchangePtr exchange) {
    held = std::move(exchange);
    held->SetOnDisconnect([&closed] { closed = true; });
  };
  const auto result = fixture.Fetch(fixture.server.port());
  cr_assert_not(result->complete);
  cr_assert_not(result->failure.has_value());
  fixture.loop.After(milliseconds(100), [&fixture] { fixture.loop.Stop(); });
  fixture.loop.Run();
  cr_assert(closed);
}
