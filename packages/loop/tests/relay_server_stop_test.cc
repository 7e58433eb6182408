// What a server owes to the clients of its open connections when it stops.

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/loop/relay_server.h"
#include "kept_connection.h"
#include "slow_reader.h"

using namespace gentianroute;
using gentianroute::testing::KeptConnection;
using gentianroute::testing::SlowReader;
using std::chrono::milliseconds;

namespace {

constexpr int kUnavailable = 503;
constexpr Duration kExchangeTime = milliseconds(50);
/// Longer than a stopping server waits for another request.
constexpr Duration kIdleEnd = milliseconds(600);

std::string RequestFor(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// Positions of the answers that announce the close.
std::vector<std::size_t> AnnouncedCloses(const KeptConnection& client) {
  std::vector<std::size_t> positions;
  for (std::size_t i = 0; i < client.answers().size(); ++i) {
    if (client.answers()[i].AnnouncesClose()) {
      positions.push_back(i);
    }
  }
  return positions;
}

/// A server that answers /now at once and keeps the other requests.
struct StoppingServerFixture {
  static constexpr std::size_t kLargeBody = 12'000'000;

  EventLoop loop;
  Duration idle_limit = std::chrono::seconds(15);
  std::vector<RelayExchangePtr> kept;
  RelayServer server{loop,
                     {"127.0.0.1", 0,
                      [this] {
                        CallerLimits limits;
                        limits.idle_timeout = idle_limit;
                        return limits;
                      }},
                     [this](const RelayExchangePtr& exchange) {
                       if (exchange->head().target == "/now") {
                         exchange->Respond(200, {}, "now");
                         return;
                       }
                       if (exchange->head().target == "/large") {
                         exchange->Respond(200, {}, LargeBody());
                         return;
                       }
                       kept.push_back(exchange);
                     }};

  static std::string LargeBody() {
    return std::string(kLargeBody - kLargeEnd.size(), 'x') +
           std::string(kLargeEnd);
  }
  static constexpr std::string_view kLargeEnd = "end";

  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  /// Stops the server while a response is under way, and then ends that.
  void StopDuringResponse(KeptConnection& client) {
    client.Send(RequestFor("/kept"));
    RunFor(kExchangeTime);
    kept[0]->Begin(200, {});
    server.StopAccepting();
    kept[0]->End();
  }
  /// Reads all that the server has to send.
  void ReadRest(SlowReader& reader) {
    for (int i = 0; i < 200 && !reader.closed(); ++i) {
      reader.Read(kLargeBody);
      RunFor(milliseconds(5));
    }
  }
};

}  // namespace

// Guards against a connection that is taken for idle, and closed, while its
// client still reads a response.
Test(relay_server_stop, idle_limit_passes_unsent_response_is_kept) {
  StoppingServerFixture fixture;
  fixture.idle_limit = milliseconds(100);
  SlowReader reader(fixture.server.port(), RequestFor("/large"));
  fixture.RunFor(3 * fixture.idle_limit);
  cr_assert_gt(fixture.server.unsent_bytes(), 0);
  cr_assert_eq(fixture.server.active_requests(), 1);
  fixture.ReadRest(reader);
  cr_assert(reader.EndsWith(StoppingServerFixture::kLargeEnd));
  cr_assert(reader.closed(), "it is closed when it has been idle");
}

// Guards against a stop that closes a connection with an unsent response.
Test(relay_server_stop, stops_accepting_unsent_response_is_kept) {
  StoppingServerFixture fixture;
  SlowReader reader(fixture.server.port(), RequestFor("/large"));
  fixture.RunFor(kExchangeTime);
  fixture.server.StopAccepting();
  fixture.RunFor(kIdleEnd);
  cr_assert_eq(fixture.server.connections(), 1);
  fixture.ReadRest(reader);
  cr_assert(reader.EndsWith(StoppingServerFixture::kLargeEnd));
  cr_assert_eq(fixture.server.connections(), 0);
}

// Guards against requests that were read behind another one going unanswered.
Test(relay_server_stop, requests_are_pipelined_last_response_announces_close) {
  StoppingServerFixture fixture;
  KeptConnection client(fixture.loop, fixture.server.port());
  fixture.server.AnnounceClose();
  client.Send(RequestFor("/now") + RequestFor("/kept") + RequestFor("/now"));
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(fixture.kept.size(), 1);
  fixture.kept[0]->Begin(200, {});
  fixture.kept[0]->End();
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(client.answers().size(), 3);
  cr_assert(AnnouncedCloses(client) == std::vector<std::size_t>{2});
}

// Guards against the next request of a client that doesn't know of the stop
// crossing the close of its connection.
Test(relay_server_stop, response_had_begun_before_next_request_is_answered) {
  StoppingServerFixture fixture;
  KeptConnection client(fixture.loop, fixture.server.port());
  fixture.StopDuringResponse(client);
  fixture.RunFor(kExchangeTime);
  cr_assert(!client.closed());
  client.Send(RequestFor("/now"));
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(client.answers().size(), 2);
  cr_assert(AnnouncedCloses(client) == std::vector<std::size_t>{1});
}

Test(relay_server_stop, no_request_follows_connection_is_closed) {
  StoppingServerFixture fixture;
  KeptConnection idle(fixture.loop, fixture.server.port());
  KeptConnection client(fixture.loop, fixture.server.port());
  fixture.StopDuringResponse(client);
  fixture.RunFor(kIdleEnd);
  cr_assert_eq(client.answers().size(), 1);
  cr_assert(client.closed());
  cr_assert(idle.closed());
  cr_assert_eq(fixture.server.connections(), 0);
}

// Guards against the client of an incomplete request learning nothing.
Test(relay_server_stop, incomplete_requests_are_rejected_others_are_kept) {
  StoppingServerFixture fixture;
  KeptConnection incomplete(fixture.loop, fixture.server.port());
  KeptConnection waiting(fixture.loop, fixture.server.port());
  incomplete.Send("GET /now HTTP/1.1\r\n");
  waiting.Send(RequestFor("/kept"));
  fixture.RunFor(kExchangeTime);
  fixture.server.RejectIncomplete(kUnavailable);
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(incomplete.answers().size(), 1);
  cr_assert_eq(incomplete.answers()[0].head.status, kUnavailable);
  cr_assert(!waiting.closed());
  fixture.kept[0]->Respond(200, {}, "");
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(waiting.answers().size(), 1);
}
