#include <signal.h>
#include <unistd.h>

#include <future>
#include <string>
#include <vector>

#include "harness.h"
#include "pipelines.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

/// All tokens of one engine's answer, each once and in order.
std::string WholeDraft() {
  constexpr int kTokens = 100;
  std::string text = "\"";
  for (int i = 0; i < kTokens; ++i) {
    text += "w" + std::to_string(i) + " ";
  }
  return text + "\"";
}

/// Index of the engine that runs requests with this marker.
std::size_t EngineOf(const Pipelines& run, const std::string& marker) {
  std::size_t found = 0;
  const bool runs = Eventually(10, [&] {
    for (const std::size_t engine : run.engines) {
      if (run.deployment.Runs(engine, marker) > 0) {
        found = engine;
        return true;
      }
    }
    return false;
  });
  cr_assert(runs);
  return found;
}

}  // namespace

TestSuite(backend_failure);

// What the caller sees: its draft, whole, a little late. The engine is killed
// in the middle of the stream; another one takes over at the offset that the
// daemon holds, so that no token is lost or doubled.
Test(backend_failure, engine_killed_in_mid_stream_answer_is_whole) {
  Pipelines run(1, 1, 2);
  std::future<Answer> draft = run.Post(0, "drafting", "letter");
  const std::size_t engine = EngineOf(run, "letter");
  usleep(200'000);  // some of the 100 tokens have gone by now
  run.deployment.backend(engine).Signal(SIGKILL);
  const Answer answer = draft.get();
  cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  cr_assert_eq(answer.body, WholeDraft());
}

// What the caller sees: its draft, whole. The engine is frozen in the middle of
// the stream, so the connection stands and says nothing; the silence ends the
// call, and another engine goes on. Once resumed, the first one finds its
// connection closed, and what it still sends reaches nobody.
Test(backend_failure, engine_frozen_in_mid_stream_answer_is_whole) {
  Pipelines run(1, 1, 2);
  std::future<Answer> draft = run.Post(0, "drafting", "letter");
  const std::size_t engine = EngineOf(run, "letter");
  usleep(200'000);
  run.deployment.backend(engine).Signal(SIGSTOP);
  const Answer answer = draft.get();
  run.deployment.backend(engine).Signal(SIGCONT);
  cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  cr_assert_eq(answer.body, WholeDraft());
  cr_assert_eq(run.Post(0, "drafting", "next").get().body, WholeDraft());
}

// What the caller sees: every draft whole, whatever the first engine does to
// its stream: tokens twice, tokens left out, a cut, another attempt's id.
Test(backend_failure, engine_with_broken_streams_answers_are_whole) {
  Pipelines run(1, 1, 2);
  for (const char* fault :
       {R"({"double_tokens": true})", R"({"skip_tokens": true})",
        R"({"skip_tokens": false, "cut_at_token": 30})",
        R"({"cut_at_token": 0, "crossed": true})"}) {
    run.deployment.SetFaults(run.engines[0], fault);
    for (int i = 0; i < 3; ++i) {
      const Answer answer = run.Post(0, "drafting", "letter").get();
      cr_assert_eq(answer.status, 200, "%s: %s", fault, answer.body.c_str());
      cr_assert_eq(answer.body, WholeDraft(), "%s: %s", fault,
                   answer.body.c_str());
    }
  }
}

// What the caller sees: the draft whole, from the second engine, when the first
// sends null where the text of a token should be; with that engine alone, a
// problem. The field of another type is a gap in the stream and no more.
Test(backend_failure, engine_with_null_tokens_daemon_lives_and_answers) {
  Pipelines run(1, 1, 2);
  run.deployment.SetFaults(run.engines[0], R"({"null_tokens": true})");
  for (int i = 0; i < 4; ++i) {
    const Answer answer = run.Post(0, "drafting", "letter").get();
    cr_assert_eq(answer.body, WholeDraft(), "%s", answer.body.c_str());
  }
  run.deployment.SetFaults(run.engines[1], R"({"null_tokens": true})");
  cr_assert_neq(run.Post(0, "drafting", "letter").get().status, 0);
  cr_assert_eq(run.Post(0, "chat", "letter").get().status, 200);
}

// What the caller sees: answers, after one short delay. The connections to the
// only server that are open now go silent for good, while new ones work. The
// first timeout condemns the idle ones, so that the next requests do not each
// wait for a silent connection of their own.
Test(backend_failure, open_connections_silent_requests_go_over_new_ones) {
  Pipelines run(1, 1, 0);
  std::vector<std::future<Answer>> warm;
  warm.reserve(8);
  for (int i = 0; i < 8; ++i) {
    warm.push_back(run.Post(0, "chat", "warm"));
  }
  for (std::future<Answer>& answer : warm) {
    cr_assert_eq(answer.get().status, 200);
  }
  run.deployment.SetFaults(run.encoders[0], R"({"silence_open": true})");
  for (int i = 0; i < 10; ++i) {
    const Answer answer = run.Post(0, "chat", "after").get();
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  }
  cr_assert_eq(run.deployment.Runs(run.encoders[0], "after"), 10);
}

// What the caller sees: its order goes through at the first try, though every
// open connection to the order server has gone silent. An order must not be
// sent twice, so a silent connection would leave its outcome unknown; it goes
// over a connection of its own.
Test(backend_failure, open_connections_silent_order_goes_over_fresh_one) {
  Pipelines run(1, 1, 0);
  cr_assert_eq(run.Post(0, "ordering", "first").get().status, 200);
  run.deployment.SetFaults(run.orders, R"({"silence_open": true})");
  const Answer answer = run.Post(0, "ordering", "second").get();
  cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  cr_assert_eq(run.deployment.Runs(run.orders, "second"), 1);
}

// What the caller sees: outcome_unknown, once the order server has taken the
// order and its connection broke without an answer. The effect took place; a
// second call would make a second plaque.
Test(backend_failure, order_with_lost_answer_is_not_sent_again) {
  Pipelines run(1, 1, 0);
  run.deployment.SetFaults(run.orders, R"({"reset_answers": true})");
  const Answer answer = run.Post(0, "ordering", "plaque").get();
  cr_assert(IsProblem(answer, "outcome_unknown"), "%s", answer.body.c_str());
  cr_assert_eq(run.deployment.Runs(run.orders, "plaque"), 1);
  run.deployment.SetFaults(run.orders,
                           R"({"reset_answers": false, "truncate": true})");
  const Answer cut = run.Post(0, "ordering", "cut").get();
  cr_assert(IsProblem(cut, "outcome_unknown"), "%s", cut.body.c_str());
  cr_assert_eq(run.deployment.Runs(run.orders, "cut"), 1);
}

// What the caller sees: its own answer, from the other server, whatever the
// first one sends: another attempt's answer, half of one, one that comes after
// its time, or an error.
Test(backend_failure, server_with_wrong_answers_caller_gets_its_own) {
  Pipelines run(1, 2, 0);
  for (const char* fault :
       {R"({"crossed": true})", R"({"crossed": false, "truncate": true})",
        R"({"truncate": false, "delay_ms": 1200})",
        R"({"delay_ms": 0, "error_status": 500})"}) {
    run.deployment.SetFaults(run.encoders[0], fault);
    for (int i = 0; i < 4; ++i) {
      const Answer answer = run.Post(0, "chat", "letter").get();
      cr_assert_eq(answer.status, 200, "%s: %s", fault, answer.body.c_str());
      cr_assert_eq(answer.body, R"({"by":"encoders-1","stage":"encode"})",
                   "%s: %s", fault, answer.body.c_str());
    }
  }
}

// What the callers see: each order answered, or refused as not run, and the
// word is true: the server, which takes two at a time and refuses the others
// before it runs them, ran each answered one once and each refused one never.
Test(backend_failure, server_refuses_orders_not_run_is_true) {
  Pipelines run(1, 1, 0);
  run.deployment.SetFaults(run.orders,
                           R"({"max_in_flight": 2, "delay_ms": 100})");
  constexpr int kOrders = 12;
  std::vector<std::future<Answer>> answers;
  answers.reserve(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    answers.push_back(run.Post(0, "ordering", "plaque-" + std::to_string(i)));
  }
  for (int i = 0; i < kOrders; ++i) {
    const Answer answer = answers[static_cast<std::size_t>(i)].get();
    const bool not_run =
        answer.body.find(R"("work":"not_run")") != std::string::npos;
    cr_assert(answer.status == 200 || not_run, "%s", answer.body.c_str());
    cr_assert_eq(run.deployment.Runs(run.orders, "plaque-" + std::to_string(i)),
                 not_run ? 0 : 1, "%s", answer.body.c_str());
  }
}
