#include <signal.h>
#include <unistd.h>

#include <future>
#include <string>
#include <vector>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

/// All tokens of an engine's response, each once and in order.
std::string CompleteDraft() {
  constexpr int kTokens = 100;
  std::string text = "\"";
  for (int i = 0; i < kTokens; ++i) {
    text += "w" + std::to_string(i) + " ";
  }
  return text + "\"";
}

/// Index of the engine that runs requests with this marker.
std::size_t FindEngine(const PipelineFixture& fixture,
                       const std::string& marker) {
  std::size_t found = 0;
  const bool found_one = Eventually(10, [&] {
    for (const std::size_t engine : fixture.engines) {
      if (fixture.deployment.RunCount(engine, marker) > 0) {
        found = engine;
        return true;
      }
    }
    return false;
  });
  cr_assert(found_one);
  return found;
}

}  // namespace

TestSuite(backend_failure);

// The engine is killed in the middle of a stream. Another one continues at the
// offset that the daemon has recorded, so that the caller gets the complete
// draft with no token lost or duplicated.
Test(backend_failure, engine_killed_in_mid_stream_response_is_complete) {
  PipelineFixture fixture(1, 1, 2);
  std::future<ClientResponse> draft = fixture.Post(0, "drafting", "letter");
  const std::size_t engine = FindEngine(fixture, "letter");
  usleep(200'000);  // part of the 100 tokens has been sent by now
  fixture.deployment.backend(engine).Signal(SIGKILL);
  const ClientResponse response = draft.get();
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  cr_assert_eq(response.body, CompleteDraft());
}

// The engine is stopped with SIGSTOP in the middle of a stream, so that its
// connection stays open but idle. The call times out and another engine
// continues; the caller gets the complete draft. After SIGCONT the connection
// of the first engine is closed, and its remaining tokens reach no caller.
Test(backend_failure, engine_stopped_in_mid_stream_response_is_complete) {
  PipelineFixture fixture(1, 1, 2);
  std::future<ClientResponse> draft = fixture.Post(0, "drafting", "letter");
  const std::size_t engine = FindEngine(fixture, "letter");
  usleep(200'000);
  fixture.deployment.backend(engine).Signal(SIGSTOP);
  const ClientResponse response = draft.get();
  fixture.deployment.backend(engine).Signal(SIGCONT);
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  cr_assert_eq(response.body, CompleteDraft());
  cr_assert_eq(fixture.Post(0, "drafting", "next").get().body, CompleteDraft());
}

// The first engine duplicates tokens, skips tokens, truncates its stream or
// sends the id of another attempt; the caller gets a complete draft each time.
Test(backend_failure, engine_with_broken_streams_responses_are_complete) {
  PipelineFixture fixture(1, 1, 2);
  for (const char* fault :
       {R"({"double_tokens": true})", R"({"skip_tokens": true})",
        R"({"skip_tokens": false, "cut_at_token": 30})",
        R"({"cut_at_token": 0, "crossed": true})"}) {
    fixture.deployment.SetFaults(fixture.engines[0], fault);
    for (int i = 0; i < 3; ++i) {
      const ClientResponse response =
          fixture.Post(0, "drafting", "letter").get();
      cr_assert_eq(response.status, 200, "%s: %s", fault,
                   response.body.c_str());
      cr_assert_eq(response.body, CompleteDraft(), "%s: %s", fault,
                   response.body.c_str());
    }
  }
}

// An engine sends null instead of the text of a token. The daemon must treat
// the field of the wrong type as a gap in the stream: the caller gets the
// complete draft from the second engine, or some response if both engines do
// so, and the daemon keeps serving.
Test(backend_failure, engine_with_null_tokens_daemon_keeps_serving) {
  PipelineFixture fixture(1, 1, 2);
  fixture.deployment.SetFaults(fixture.engines[0], R"({"null_tokens": true})");
  for (int i = 0; i < 4; ++i) {
    const ClientResponse response = fixture.Post(0, "drafting", "letter").get();
    cr_assert_eq(response.body, CompleteDraft(), "%s", response.body.c_str());
  }
  fixture.deployment.SetFaults(fixture.engines[1], R"({"null_tokens": true})");
  cr_assert_neq(fixture.Post(0, "drafting", "letter").get().status, 0);
  cr_assert_eq(fixture.Post(0, "chat", "letter").get().status, 200);
}

// All open connections to the only server stop carrying data, while new ones
// work. The first timeout makes the daemon drop its idle connections too, so
// that later requests do not each time out on a dead one; callers get responses
// after one short delay.
Test(backend_failure, open_connections_silent_requests_go_over_new_ones) {
  PipelineFixture fixture(1, 1, 0);
  std::vector<std::future<ClientResponse>> warm;
  warm.reserve(8);
  for (int i = 0; i < 8; ++i) {
    warm.push_back(fixture.Post(0, "chat", "warm"));
  }
  for (std::future<ClientResponse>& response : warm) {
    cr_assert_eq(response.get().status, 200);
  }
  fixture.deployment.SetFaults(fixture.encoders[0],
                               R"({"silence_open": true})");
  for (int i = 0; i < 10; ++i) {
    const ClientResponse response = fixture.Post(0, "chat", "after").get();
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }
  cr_assert_eq(fixture.deployment.RunCount(fixture.encoders[0], "after"), 10);
}

// All open connections to the order server stop carrying data. An order must
// not be sent twice, so that a dead connection would leave its outcome unknown;
// it uses a new connection, and the first attempt succeeds.
Test(backend_failure, open_connections_silent_order_goes_over_fresh_one) {
  PipelineFixture fixture(1, 1, 0);
  cr_assert_eq(fixture.Post(0, "ordering", "first").get().status, 200);
  fixture.deployment.SetFaults(fixture.orders, R"({"silence_open": true})");
  const ClientResponse response = fixture.Post(0, "ordering", "second").get();
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "second"), 1);
}

// The connection breaks after the order server has received the order and
// before a complete response. The effect has taken place and a second call
// would repeat it, so that the caller must get outcome_unknown.
Test(backend_failure, order_with_lost_answer_is_not_sent_again) {
  PipelineFixture fixture(1, 1, 0);
  fixture.deployment.SetFaults(fixture.orders, R"({"reset_answers": true})");
  const ClientResponse response = fixture.Post(0, "ordering", "plaque").get();
  cr_assert(IsProblem(response, "outcome_unknown"), "%s",
            response.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "plaque"), 1);
  fixture.deployment.SetFaults(fixture.orders,
                               R"({"reset_answers": false, "truncate": true})");
  const ClientResponse truncated = fixture.Post(0, "ordering", "cut").get();
  cr_assert(IsProblem(truncated, "outcome_unknown"), "%s",
            truncated.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "cut"), 1);
}

// The first server sends the response of another attempt, a truncated one, a
// late one or an error; the caller gets the response of the other server.
Test(backend_failure, server_with_wrong_responses_caller_gets_its_own) {
  PipelineFixture fixture(1, 2, 0);
  for (const char* fault :
       {R"({"crossed": true})", R"({"crossed": false, "truncate": true})",
        R"({"truncate": false, "delay_ms": 1200})",
        R"({"delay_ms": 0, "error_status": 500})"}) {
    fixture.deployment.SetFaults(fixture.encoders[0], fault);
    for (int i = 0; i < 4; ++i) {
      const ClientResponse response = fixture.Post(0, "chat", "letter").get();
      cr_assert_eq(response.status, 200, "%s: %s", fault,
                   response.body.c_str());
      cr_assert_eq(response.body, R"({"by":"encoders-1","stage":"encode"})",
                   "%s: %s", fault, response.body.c_str());
    }
  }
}

// The order server accepts two requests at a time and refuses the others before
// running them. Each order must be answered or reported as not run: the server
// has run each answered one once and each refused one never.
Test(backend_failure, server_refuses_orders_refused_ones_never_run) {
  PipelineFixture fixture(1, 1, 0);
  fixture.deployment.SetFaults(fixture.orders,
                               R"({"max_in_flight": 2, "delay_ms": 100})");
  constexpr int kOrders = 12;
  std::vector<std::future<ClientResponse>> responses;
  responses.reserve(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    responses.push_back(
        fixture.Post(0, "ordering", "plaque-" + std::to_string(i)));
  }
  for (int i = 0; i < kOrders; ++i) {
    const ClientResponse response =
        responses[static_cast<std::size_t>(i)].get();
    const bool not_run =
        response.body.find(R"("work":"not_run")") != std::string::npos;
    cr_assert(response.status == 200 || not_run, "%s", response.body.c_str());
    cr_assert_eq(fixture.deployment.RunCount(fixture.orders,
                                             "plaque-" + std::to_string(i)),
                 not_run ? 0 : 1, "%s", response.body.c_str());
  }
}
