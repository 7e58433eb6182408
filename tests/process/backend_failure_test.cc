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

/// All tokens of one engine's answer, each once and in order.
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

// What the caller sees: its draft, whole, a little late. The engine is killed
// in the middle of the stream; another one takes over at the offset that the
// daemon holds, so that no token is lost or doubled.
Test(backend_failure, engine_killed_in_mid_stream_answer_is_whole) {
  PipelineFixture fixture(1, 1, 2);
  std::future<ClientResponse> draft = fixture.Post(0, "drafting", "letter");
  const std::size_t engine = FindEngine(fixture, "letter");
  usleep(200'000);  // some of the 100 tokens have gone by now
  fixture.deployment.backend(engine).Signal(SIGKILL);
  const ClientResponse response = draft.get();
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  cr_assert_eq(response.body, CompleteDraft());
}

// What the caller sees: its draft, whole. The engine is frozen in the middle of
// the stream, so the connection stands and says nothing; the silence ends the
// call, and another engine goes on. Once resumed, the first one finds its
// connection closed, and what it still sends reaches nobody.
Test(backend_failure, engine_frozen_in_mid_stream_answer_is_whole) {
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

// What the caller sees: every draft whole, whatever the first engine does to
// its stream: tokens twice, tokens left out, a cut, another attempt's id.
Test(backend_failure, engine_with_broken_streams_answers_are_whole) {
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

// What the caller sees: the draft whole, from the second engine, when the first
// sends null where the text of a token should be; with that engine alone, a
// problem. The field of another type is a gap in the stream and no more.
Test(backend_failure, engine_with_null_tokens_daemon_lives_and_answers) {
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

// What the caller sees: answers, after one short delay. The connections to the
// only server that are open now go silent for good, while new ones work. The
// first timeout condemns the idle ones, so that the next requests do not each
// wait for a silent connection of their own.
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

// What the caller sees: its order goes through at the first try, though every
// open connection to the order server has gone silent. An order must not be
// sent twice, so a silent connection would leave its outcome unknown; it goes
// over a connection of its own.
Test(backend_failure, open_connections_silent_order_goes_over_fresh_one) {
  PipelineFixture fixture(1, 1, 0);
  cr_assert_eq(fixture.Post(0, "ordering", "first").get().status, 200);
  fixture.deployment.SetFaults(fixture.orders, R"({"silence_open": true})");
  const ClientResponse response = fixture.Post(0, "ordering", "second").get();
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  cr_assert_eq(fixture.deployment.RunCount(fixture.orders, "second"), 1);
}

// What the caller sees: outcome_unknown, once the order server has taken the
// order and its connection broke without an answer. The effect took place; a
// second call would make a second plaque.
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

// What the caller sees: its own answer, from the other server, whatever the
// first one sends: another attempt's answer, half of one, one that comes after
// its time, or an error.
Test(backend_failure, server_with_wrong_answers_caller_gets_its_own) {
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

// What the callers see: each order answered, or refused as not run, and the
// word is true: the server, which takes two at a time and refuses the others
// before it runs them, ran each answered one once and each refused one never.
Test(backend_failure, server_refuses_orders_not_run_is_true) {
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
