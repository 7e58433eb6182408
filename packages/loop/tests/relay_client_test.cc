#include "gentianroute/loop/relay_client.h"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "gentianroute/loop/relay_fetches.h"
#include "gentianroute/loop/relay_server.h"

using namespace gentianroute;

namespace {

/// A server that answers each request, and a client for it.
struct RelayClientFixture {
  EventLoop loop;
  RelayServer server{loop,
                     {"127.0.0.1", 0, [] { return CallerLimits{}; }},
                     [](const RelayExchangePtr& exchange) {
                       exchange->Respond(200, {}, "all");
                     }};
  RelayClient client{loop};
  RelayFetches fetches{loop, client};

  void Send(const std::string& request_id) {
    RelayCall call;
    call.endpoint = {"127.0.0.1", server.port()};
    call.message = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    call.request_id = request_id;
    bool complete = false;
    fetches.Start(std::move(call), std::chrono::seconds(5),
                  [&](const RelayFetchResult& result) {
                    complete = result.complete;
                    loop.Stop();
                  });
    loop.Run();
    cr_assert(complete);
  }
};

}  // namespace

TestSuite(relay_client);

Test(relay_client, requests_differ_one_connection_carries_them) {
  RelayClientFixture fixture;
  fixture.Send("r1");
  fixture.Send("r2");
  cr_assert_eq(fixture.client.opened(), 1);
}

// Guards against a late second answer to the first sending of a request being
// taken for the answer to the next one.
Test(relay_client, request_is_repeated_it_takes_another_connection) {
  RelayClientFixture fixture;
  fixture.Send("r1");
  fixture.Send("r1");
  cr_assert_eq(fixture.client.opened(), 2);
}

// Guards against the same where other requests came between.
Test(relay_client, request_is_repeated_later_no_connection_carries_it_twice) {
  RelayClientFixture fixture;
  fixture.Send("r1");
  fixture.Send("r2");
  fixture.Send("r1");
  fixture.Send("r2");
  fixture.Send("r3");
  cr_assert_eq(fixture.client.opened(), 2);
}

Test(relay_client, requests_without_an_id_share_a_connection) {
  RelayClientFixture fixture;
  fixture.Send("");
  fixture.Send("");
  cr_assert_eq(fixture.client.opened(), 1);
}

// Guards against a connection that is never idle for long remembering ids
// without end.
Test(relay_client, connection_has_carried_many_ids_it_is_replaced) {
  constexpr int kRequests = 1025;
  RelayClientFixture fixture;
  for (int i = 0; i < kRequests; ++i) {
    fixture.Send("r" + std::to_string(i));
  }
  cr_assert_eq(fixture.client.opened(), 2);
}
