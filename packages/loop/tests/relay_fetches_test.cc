#include "gentianroute/loop/relay_fetches.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>

#include "gentianroute/loop/relay_server.h"

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// A server that answers as a test says, and one call to it.
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

Test(relay_fetches, whole_answer_is_handed_on) {
  FetchFixture fixture;
  fixture.handler = [](const RelayExchangePtr& exchange) {
    exchange->Respond(200, {}, "all");
  };
  const auto result = fixture.Fetch(fixture.server.port());
  cr_assert(result->complete);
  cr_assert_eq(result->head.status, 200);
  cr_assert(result->body == "all");
}

Test(relay_fetches, broken_answer_says_how) {
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

// The far end takes the call and never answers: the caller hears of it once,
// and the connection is closed, so that the far end can stop its work.
Test(relay_fetches, silent_server_is_given_up_and_closed) {
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
