#include "gentianroute/routing/server_choice.h"

#include <criterion/criterion.h>

#include <set>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

Prompt PromptAbout(const std::string& subject, const std::string& own) {
  Prompt prompt;
  prompt.tokens_in = 9000;
  prompt.tokens_out = 60;
  prompt.parts = {{"common", 2500}, {subject, 3800}, {own, 2900}};
  return prompt;
}

struct ModelFixture {
  std::vector<ServerPtr> servers;
  ModelCapacity capacity{64, 450'000};
  ServiceTimeEstimate estimate;
  Topology topology = TwoRegions();
  PlacementFixture limits;

  ModelFixture() {
    for (int i = 0; i < 6; ++i) {
      servers.push_back(MakeServer("m" + std::to_string(i), "north", 64));
    }
  }
  ServerPtr Choose(const Prompt& prompt,
                   std::span<const PlacedBytes> inputs = {},
                   std::span<const std::string> tried = {}) const {
    return ChooseModelServer(kStart, servers, limits.placement, tried, prompt,
                             inputs, capacity, estimate, topology)
        .server;
  }
};

}  // namespace

Test(server_choice, plain_request_stays_in_its_data_centre) {
  const std::vector<ServerPtr> servers = {MakeServer("far", "south", 6),
                                          MakeServer("near", "north", 6)};
  const ServerChoice choice = ChoosePlainServer(
      kStart, servers, PlacementFixture().placement, {}, {}, TwoRegions());
  cr_assert(choice.server == servers[1]);
}

Test(server_choice, full_server_loses_to_a_free_one_far_away) {
  const std::vector<ServerPtr> servers = {MakeServer("far", "south", 6),
                                          MakeServer("near", "north", 6)};
  servers[1]->own().calls = 18;
  const ServerChoice choice = ChoosePlainServer(
      kStart, servers, PlacementFixture().placement, {}, {}, TwoRegions());
  cr_assert(choice.server == servers[0]);
}

// A server fails requests while its health check passes, so only its answers
// show the failure.
Test(server_choice, failing_server_is_avoided_until_its_failures_fade) {
  const std::vector<ServerPtr> servers = {MakeServer("far", "south", 6),
                                          MakeServer("near", "north", 6)};
  for (int i = 0; i < 10; ++i) {
    servers[1]->history().OnAnswer(kStart, false, 1.0);
  }
  const Topology topology = TwoRegions();
  cr_assert(ChoosePlainServer(kStart, servers, PlacementFixture().placement, {},
                              {}, topology)
                .server == servers[0]);
  const TimePoint later = kStart + std::chrono::seconds(30);
  cr_assert(ChoosePlainServer(later, servers, PlacementFixture().placement, {},
                              {}, topology)
                .server == servers[1]);
}

Test(server_choice, leaving_tried_and_unlisted_servers_are_not_taken) {
  std::vector<ServerPtr> servers = {MakeServer("leaving"), MakeServer("tried"),
                                    MakeServer("gone")};
  ServerRecord leaving = servers[0]->record();
  leaving.leaving = true;
  servers[0]->SetRecord(leaving);
  servers[2]->Unlist();
  const std::vector<std::string> tried = {"tried"};
  const ServerChoice choice = ChoosePlainServer(
      kStart, servers, PlacementFixture().placement, tried, {}, TwoRegions());
  cr_assert(choice.server == nullptr);
}

Test(server_choice, requests_about_one_subject_meet_at_one_server) {
  const ModelFixture fixture;
  const ServerPtr home = fixture.Choose(PromptAbout("subject", "r0"));
  for (int i = 1; i < 20; ++i) {
    cr_assert(fixture.Choose(PromptAbout("subject", "r" + std::to_string(i))) ==
              home);
  }
}

Test(server_choice, subjects_spread_over_all_servers) {
  const ModelFixture fixture;
  std::set<std::string> homes;
  for (int i = 0; i < 100; ++i) {
    homes.insert(
        fixture.Choose(PromptAbout("s" + std::to_string(i), "r"))->record().id);
  }
  cr_assert_eq(homes.size(), fixture.servers.size());
}

// Waiting for the prompts queued at the home server of a popular subject takes
// longer than prefilling the subject at another server, where it isn't cached.
Test(server_choice, hot_subject_is_split_once_its_home_has_a_queue) {
  const ModelFixture fixture;
  const Prompt prompt = PromptAbout("hot", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  home->own().pending_prefill_tokens = 20'000;
  cr_assert(fixture.Choose(prompt) != home);
}

Test(server_choice, small_load_does_not_move_a_subject) {
  const ModelFixture fixture;
  const Prompt prompt = PromptAbout("subject", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  home->own().pending_prefill_tokens = 2'900;
  home->own().calls = 5;
  cr_assert(fixture.Choose(prompt) == home);
}

// Stage results are stored in one data centre, and transfers out of it are
// billed.
Test(server_choice, large_results_draw_a_request_whose_subject_is_small) {
  ModelFixture fixture;
  fixture.servers.push_back(MakeServer("s0", "south", 64));
  const std::vector<PlacedBytes> inputs = {{"south", 24e6}};
  Prompt prompt = PromptAbout("subject", "r");
  prompt.parts[1].tokens = 300;
  cr_assert(fixture.Choose(prompt, inputs) == fixture.servers.back());
}

// Subjects of thousands of tokens with results of some megabytes: another
// prefill of the subject costs more engine time and money than the transfer of
// the results.
Test(server_choice, large_subject_stays_at_home_beside_results_elsewhere) {
  ModelFixture fixture;
  const Prompt prompt = PromptAbout("subject", "r");
  const ServerPtr home = fixture.Choose(prompt);
  fixture.servers.push_back(MakeServer("s0", "south", 64));
  const std::vector<PlacedBytes> inputs = {{"south", 6e6}};
  cr_assert(fixture.Choose(prompt, inputs) == home);
}

Test(server_choice, request_that_does_not_fit_in_memory_goes_elsewhere) {
  const ModelFixture fixture;
  const Prompt prompt = PromptAbout("subject", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  home->own().tokens = 600'000;
  cr_assert(fixture.Choose(prompt) != home);
}

// A subject was split because its home had a queue. Later requests return to
// the home only if that costs less than using the existing copy.
Test(server_choice, copy_of_a_subject_at_another_server_is_reused) {
  const ModelFixture fixture;
  const Prompt prompt = PromptAbout("hot", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  home->own().pending_prefill_tokens = 20'000;
  const ServerPtr second = fixture.Choose(prompt);
  second->prompt_cache().OnPrefill(kStart, prompt, 400'000);
  home->own().pending_prefill_tokens = 3'000;
  cr_assert(fixture.Choose(prompt) == second);
  home->own().pending_prefill_tokens = 0;
  cr_assert(fixture.Choose(prompt) == home);
}

// A server answers every request at a fifth of the speed of the others. Its
// answer times must direct requests elsewhere.
Test(server_choice, slowed_model_server_loses_its_subjects_for_a_time) {
  const ModelFixture fixture;
  const Prompt prompt = PromptAbout("subject", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  for (int i = 0; i < 10; ++i) {
    home->history().OnAnswer(kStart, true, 5.0);
  }
  cr_assert(fixture.Choose(prompt) != home);
}

// A third of the servers generate at less than half the speed of the others.
// Their streams would pause too long and end after their deadline, while the
// faster servers have room.
Test(server_choice, subject_leaves_a_home_that_generates_slowly) {
  ModelFixture fixture;
  const Prompt prompt = PromptAbout("subject", "r0");
  const ServerPtr home = fixture.Choose(prompt);
  for (const ServerPtr& server : fixture.servers) {
    const Duration event_time = server == home ? 60 * kMs : 20 * kMs;
    server->pace().OnEvents(kStart, 200, event_time * 200);
  }
  const ServerPtr other = fixture.Choose(prompt);
  cr_assert(other != home);
  for (int i = 1; i < 20; ++i) {
    cr_assert(fixture.Choose(PromptAbout("subject", "r" + std::to_string(i))) ==
              other);
  }
}
