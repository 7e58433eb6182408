#include "gentianroute/routing/stage_plan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gentianroute::routing {
namespace {

void MoveInto(std::vector<StageResults>& all,
              std::uint32_t stage,
              std::vector<std::string>& from) {
  if (!from.empty()) {
    all.push_back({stage, std::exchange(from, {})});
  }
}

}  // namespace

StagePlan::StagePlan(std::span<const StageSpec> stages,
                     std::span<const std::uint32_t> pieces)
    : specs_(stages), nodes_(stages.size()) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].pieces = i < pieces.size() ? pieces[i] : 0;
    nodes_[i].state = nodes_[i].pieces == 0 ? State::kDone : State::kWaiting;
  }
}

std::vector<std::uint32_t> StagePlan::Ready() const {
  std::vector<std::uint32_t> ready;
  const std::uint32_t longest = LongestRemainingChain();
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    const auto& after = specs_[i].after;
    const bool inputs_ready =
        std::all_of(after.begin(), after.end(), [this](std::uint32_t input) {
          return nodes_[input].state == State::kDone;
        });
    const bool needed_soon = ChainLength(i) >= longest;
    if (nodes_[i].state == State::kWaiting && inputs_ready && needed_soon) {
      ready.push_back(i);
    }
  }
  return ready;
}

void StagePlan::Start(std::uint32_t stage) {
  nodes_[stage].state = State::kRunning;
}

void StagePlan::Finish(std::uint32_t stage, std::vector<std::string> results) {
  nodes_[stage].state = State::kDone;
  nodes_[stage].results = std::move(results);
}

std::vector<StageResults> StagePlan::RecomputeInputs(std::uint32_t stage) {
  std::vector<StageResults> discarded;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    const bool input =
        stage < nodes_.size() ? Reads(specs_[stage], i) : !IsRead(i);
    if (!input || nodes_[i].pieces == 0 || nodes_[i].state != State::kDone) {
      continue;
    }
    nodes_[i].state = State::kWaiting;
    MoveInto(discarded, i, nodes_[i].results);
    // The inputs of that stage have been released by now.
    std::vector<StageResults> deeper = RecomputeInputs(i);
    std::move(deeper.begin(), deeper.end(), std::back_inserter(discarded));
  }
  if (stage < nodes_.size()) {
    nodes_[stage].state = State::kWaiting;
  }
  return discarded;
}

bool StagePlan::complete() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
    return node.state == State::kDone;
  });
}

std::vector<std::string> StagePlan::InputsOf(std::uint32_t stage) const {
  std::vector<std::string> inputs;
  for (const std::uint32_t input : specs_[stage].after) {
    const auto& results = nodes_[input].results;
    inputs.insert(inputs.end(), results.begin(), results.end());
  }
  return inputs;
}

std::vector<std::uint32_t> StagePlan::FinalStages() const {
  std::vector<std::uint32_t> stages;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (!IsRead(i)) {
      stages.push_back(i);
    }
  }
  return stages;
}

std::vector<std::string> StagePlan::FinalInputs() const {
  std::vector<std::string> inputs;
  for (const std::uint32_t stage : FinalStages()) {
    const auto& results = nodes_[stage].results;
    inputs.insert(inputs.end(), results.begin(), results.end());
  }
  return inputs;
}

std::vector<StageResults> StagePlan::TakeUnneeded() {
  std::vector<StageResults> spent;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (IsRead(i) && !HasUnfinishedReader(i)) {
      MoveInto(spent, i, nodes_[i].results);
    }
  }
  return spent;
}

std::vector<StageResults> StagePlan::TakeAll() {
  std::vector<StageResults> all;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    MoveInto(all, i, nodes_[i].results);
  }
  return all;
}

bool StagePlan::Reads(const StageSpec& reader, std::uint32_t stage) {
  return std::find(reader.after.begin(), reader.after.end(), stage) !=
         reader.after.end();
}

std::uint32_t StagePlan::ChainLength(std::uint32_t stage) const {
  return 1 + LongestChainAfter(stage, [](const StageSpec&) { return 1U; });
}

std::uint32_t StagePlan::LongestRemainingChain() const {
  std::uint32_t longest = 0;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].state != State::kDone) {
      longest = std::max(longest, ChainLength(i));
    }
  }
  return longest;
}

bool StagePlan::IsRead(std::uint32_t stage) const {
  return std::any_of(
      specs_.begin(), specs_.end(),
      [stage](const StageSpec& spec) { return Reads(spec, stage); });
}

bool StagePlan::HasUnfinishedReader(std::uint32_t stage) const {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].state != State::kDone && Reads(specs_[i], stage)) {
      return true;
    }
  }
  return false;
}

}  // namespace gentianroute::routing
