#include <signal.h>
#include <unistd.h>

#include <future>
#include <string>
#include <vector>

#include "connection.h"
#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

TestSuite(drain);

// A daemon gets SIGTERM twice while streams, keyed orders and requests that
// wait for a slot are in flight, and while the store returns errors, so that
// the outcomes of the orders can't be written yet. /readyz returns 503 at once,
// new requests are served during the drain notice, every request is answered,
// and the outcomes are written before the daemon exits.
Test(drain, stop_under_load_answers_all_and_exits_zero) {
  PipelineFixture fixture(2, 1, 1, R"({"limits": {"drainNoticeMs": 600}})");
  fixture.deployment.SetFaults(fixture.encoders[0], R"({"delay_ms": 300})");
  fixture.deployment.SetFaults(fixture.orders, R"({"delay_ms": 3000})");
  std::vector<std::future<ClientResponse>> responses;
  responses.reserve(33);
  for (int i = 0; i < 24; ++i) {  // there are 8 slots, so two thirds wait
    responses.push_back(fixture.Post(0, "chat", "chat"));
  }
  for (int i = 0; i < 4; ++i) {
    responses.push_back(fixture.Post(0, "drafting", "draft"));
    responses.push_back(
        fixture.Post(0, "ordering", "order", "key-" + std::to_string(i)));
  }
  const std::uint16_t operators = fixture.deployment.operator_port(0);
  cr_assert(Eventually(10, [&] {
    return fixture.deployment.RunCount(fixture.orders, "order") == 4;
  }));
  fixture.deployment.SetPlatformFaults(R"({"error_status": 503})");
  fixture.deployment.daemon(0).Signal(SIGTERM);
  cr_assert(Eventually(5, [operators] {
    return CallHttp(operators, "GET", "/readyz", "").status == 503;
  }));
  responses.push_back(fixture.Post(0, "chat", "newcomer"));
  fixture.deployment.daemon(0).Signal(SIGTERM);
  for (std::future<ClientResponse>& response : responses) {
    const ClientResponse got = response.get();
    cr_assert_eq(got.status, 200, "status %d: %s", got.status,
                 got.body.c_str());
  }
  usleep(300'000);  // a daemon that does not wait has exited by now
  fixture.deployment.SetPlatformFaults(R"({"error_status": 0})");
  cr_assert_eq(fixture.deployment.daemon(0).Wait(20), 0);
  // The outcomes were written before the daemon exited, so another one has
  // them.
  for (int i = 0; i < 4; ++i) {
    const ClientResponse again =
        fixture.Post(1, "ordering", "order", "key-" + std::to_string(i)).get();
    cr_assert_eq(again.status, 200, "%s", again.body.c_str());
    cr_assert(again.headers.find("x-replayed: 1") != std::string::npos);
  }
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "order"), 4);
}

// A request on a connection that was idle when the daemon stopped accepting is
// still served, since its client could not know of the stop. The response has
// "connection: close", and the daemon waits for it before it exits.
Test(drain, request_on_open_connection_after_accepting_stopped_is_served) {
  PipelineFixture fixture(1, 1, 0, R"({"limits": {"drainNoticeMs": 50}})");
  const Connection connection(fixture.deployment.caller_port(0));
  connection.Post("chat", "{}");
  cr_assert(connection.ReadResponse().starts_with("http/1.1 200"));
  fixture.deployment.daemon(0).Signal(SIGTERM);
  cr_assert(Eventually(5, [&] {
    return !Connection(fixture.deployment.caller_port(0)).connected();
  }));
  usleep(300'000);  // a daemon that does not wait has exited by now
  connection.Post("chat", "{}");
  const std::string response = connection.ReadResponse();
  cr_assert(response.starts_with("http/1.1 200"), "%s", response.c_str());
  cr_assert(response.find("connection: close") != std::string::npos);
  cr_assert_eq(fixture.deployment.daemon(0).Wait(20), 0);
}

// Requests that do not end are cut off only by the drain deadline; the log then
// has the number of requests that were cut off.
Test(drain, deadline_is_the_only_cut_off_and_is_logged) {
  PipelineFixture fixture(
      1, 1, 0, R"({"limits": {"drainNoticeMs": 50, "drainDeadlineMs": 1500}})");
  fixture.deployment.SetFaults(fixture.orders, R"({"silent": true})");
  const std::future<ClientResponse> order =
      fixture.Post(0, "ordering", "stuck");
  cr_assert(Eventually(5, [&] {
    return CallHttp(fixture.deployment.operator_port(0), "GET", "/status", "")
               .body.find("\"active\": 1") != std::string::npos;
  }));
  fixture.deployment.daemon(0).Signal(SIGTERM);
  cr_assert_eq(fixture.deployment.daemon(0).Wait(20), 0);
  const std::string log = fixture.deployment.ReadLog(0);
  cr_assert(log.find("event=drain_deadline") != std::string::npos);
  cr_assert(log.find("cut_off=1") != std::string::npos);
}
