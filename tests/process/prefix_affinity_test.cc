#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kConversationsPerEngine = 8;

std::uint64_t CacheHits(const Deployment& deployment, std::size_t engine) {
  const ClientResponse response =
      CallHttp(deployment.backend_port(engine), "GET", "/control/counts", "");
  return nlohmann::json::parse(response.body).at("cache_hits");
}

std::string RequestBody(int round, std::size_t engine, int number) {
  return R"({"conversation": "letters )" + std::to_string(round) + "/" +
         std::to_string(engine) + "/" + std::to_string(number) + R"("})";
}

/// Starts conversations directly at each engine and continues each of them
/// through the daemon.
/// @return whether each one was continued at the engine that holds it
bool AllReachTheirEngine(const PipelineFixture& fixture, int round) {
  const Deployment& deployment = fixture.deployment;
  std::vector<std::uint64_t> before;
  for (const std::size_t engine : fixture.engines) {
    for (int i = 0; i < kConversationsPerEngine; ++i) {
      CallHttp(deployment.backend_port(engine), "POST", "/v1/generate",
               R"({"request": )" + RequestBody(round, engine, i) + "}",
               {"x-attempt-id: 1", "x-resume-offset: 100"});
    }
    before.push_back(CacheHits(deployment, engine));
  }
  std::this_thread::sleep_for(
      std::chrono::seconds(2));  // cache events arrive with a delay
  for (int i = 0; i < kConversationsPerEngine; ++i) {
    for (const std::size_t engine : fixture.engines) {
      deployment.Post(0, "drafting", RequestBody(round, engine, i));
    }
  }
  bool all = true;
  for (std::size_t i = 0; i < fixture.engines.size(); ++i) {
    all = all && CacheHits(deployment, fixture.engines[i]) ==
                     before[i] + kConversationsPerEngine;
  }
  return all;
}

}  // namespace

// Continuing a conversation at an engine without its prefix in the cache delays
// the first token, since the whole prompt is processed again. The daemon must
// use the engines' cache events to select the engine that holds the prefix. A
// round in which the events were too late is repeated with new conversations;
// by chance a round succeeds once in 65536.
Test(prefix_affinity, repeated_conversations_go_to_the_engine_that_holds_them) {
  const PipelineFixture fixture(1, 1, 2);
  bool all = false;
  for (int round = 0; round < 3 && !all; ++round) {
    all = AllReachTheirEngine(fixture, round);
  }
  cr_assert(all, "a conversation was sent to an engine that does not hold it");
}
