#include "gentianroute/routing/stage_plan.h"

#include <criterion/criterion.h>

using namespace gentianroute::routing;

namespace {

/// The widest stage graph of the target deployments: a chain of three stages
/// and one parallel stage.
std::vector<StageSpec> ChatStages() {
  return {{"wide", {}, 3'000'000},
          {"first", {}, 8'000},
          {"second", {1}, 60'000},
          {"third", {2}, 6'000}};
}

}  // namespace

Test(stage_plan, chain_runs_in_sequence) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {0, 1, 8, 16};
  StagePlan plan(stages, pieces);
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{1});
  plan.Start(1);
  cr_assert(plan.Ready().empty());
  plan.Finish(1, {"a"});
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{2});
  cr_assert_eq(plan.InputsOf(2), std::vector<std::string>{"a"});
}

// A large result that waits for a slow chain fills the storage of its server,
// which pieces of other requests need.
Test(stage_plan, stage_beside_a_chain_begins_with_its_last_stage) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {2, 1, 8, 16};
  StagePlan plan(stages, pieces);
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{1});
  plan.Finish(1, {"a"});
  plan.Finish(2, {"b"});
  cr_assert_eq(plan.Ready(), (std::vector<std::uint32_t>{0, 3}));
}

Test(stage_plan, request_without_pieces_is_complete) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> none = {0, 0, 0, 0};
  cr_assert(StagePlan(stages, none).complete());
  cr_assert(StagePlan(stages, {}).complete());
}

Test(stage_plan, own_call_reads_results_that_no_stage_reads) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {1, 1, 1, 1};
  StagePlan plan(stages, pieces);
  plan.Finish(0, {"w"});
  plan.Finish(1, {"a"});
  plan.Finish(2, {"b"});
  plan.Finish(3, {"c"});
  cr_assert(plan.complete());
  cr_assert_eq(plan.FinalInputs(), (std::vector<std::string>{"w", "c"}));
}

Test(stage_plan, results_are_unneeded_once_their_reader_is_done) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {0, 1, 1, 1};
  StagePlan plan(stages, pieces);
  plan.Finish(1, {"a"});
  cr_assert(plan.TakeUnneeded().empty());
  plan.Finish(2, {"b"});
  const auto spent = plan.TakeUnneeded();
  cr_assert_eq(spent.size(), 1);
  cr_assert_eq(spent[0].results, std::vector<std::string>{"a"});
}

// A result was lost with its server after the inputs of its stage had been
// released, so the whole chain up to it must run again. A stage must never run
// with only some of its inputs.
Test(stage_plan, lost_result_is_recomputed_with_its_inputs) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {0, 1, 1, 1};
  StagePlan plan(stages, pieces);
  plan.Finish(1, {"a"});
  plan.Finish(2, {"b"});
  plan.TakeUnneeded();
  plan.Start(3);
  plan.RecomputeInputs(3);
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{1});
  plan.Finish(1, {"a2"});
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{2});
  cr_assert_eq(plan.InputsOf(2), std::vector<std::string>{"a2"});
  plan.Finish(2, {"b2"});
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{3});
}

Test(stage_plan, inputs_of_the_own_call_are_recomputed_for_another_attempt) {
  const auto stages = ChatStages();
  const std::vector<std::uint32_t> pieces = {1, 0, 0, 0};
  StagePlan plan(stages, pieces);
  plan.Finish(0, {"w"});
  plan.TakeAll();
  plan.RecomputeInputs(static_cast<std::uint32_t>(plan.stages()));
  cr_assert_not(plan.complete());
  cr_assert_eq(plan.Ready(), std::vector<std::uint32_t>{0});
}
