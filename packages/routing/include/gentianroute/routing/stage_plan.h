#ifndef GENTIANROUTE_ROUTING_STAGE_PLAN_H_
#define GENTIANROUTE_ROUTING_STAGE_PLAN_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/routing/deployment.h"

namespace gentianroute::routing {

/// @brief Results of one stage.
struct StageResults {
  std::uint32_t stage = 0;
  std::vector<std::string> results;
};

/// @brief Progress of one request through its graph of stages.
///
/// A result is lost with the server that holds it, in which case its stage is
/// run again. Results that are still available are kept.
class StagePlan {
 public:
  /// @param pieces number of pieces of each stage; 0 if the request skips it
  StagePlan(std::span<const StageSpec> stages,
            std::span<const std::uint32_t> pieces);

  /// @brief Returns the stages to start now: not started, inputs complete, and
  /// results needed soon.
  ///
  /// A result occupies storage at its server until it is read. A stage parallel
  /// to a longer chain would finish long before the chain and its results would
  /// fill the server; it is therefore delayed until it is no shorter than the
  /// longest remaining chain.
  /// @complexity quadratic in the number of stages, which is small
  std::vector<std::uint32_t> Ready() const;
  void Start(std::uint32_t stage);
  void Finish(std::uint32_t stage, std::vector<std::string> results);
  /// @brief Handles the loss of an input of a stage or of the request's own
  /// call: schedules all stages that it depends on to run again.
  /// @param stage index of the stage, or stages() for the request's own call
  /// @return results that are no longer needed
  std::vector<StageResults> RecomputeInputs(std::uint32_t stage);

  /// @brief Whether all stages are done.
  bool complete() const;
  /// @brief Results that a stage reads, in the order of its `after`.
  std::vector<std::string> InputsOf(std::uint32_t stage) const;
  /// @brief Stages whose results the request's own call reads.
  std::vector<std::uint32_t> FinalStages() const;
  /// @brief Results that the request's own call reads.
  std::vector<std::string> FinalInputs() const;
  /// @brief Removes and returns the results that no unfinished stage reads,
  /// except those that the request's own call reads.
  std::vector<StageResults> TakeUnneeded();
  /// @brief Removes and returns all results, at the end of a request.
  std::vector<StageResults> TakeAll();

  std::uint32_t pieces(std::uint32_t stage) const {
    return nodes_[stage].pieces;
  }
  std::size_t stages() const { return nodes_.size(); }
  const StageSpec& spec(std::uint32_t stage) const { return specs_[stage]; }
  /// @brief Total weight of the heaviest chain of stages that depend on this
  /// one. Skipped stages have no weight.
  /// @param weight function from a StageSpec to its weight, which sets the
  /// return type
  template <typename Weight>
  auto LongestChainAfter(std::uint32_t stage, const Weight& weight) const
      -> decltype(weight(StageSpec{})) {
    decltype(weight(StageSpec{})) longest{};
    for (std::uint32_t next = 0; next < nodes_.size(); ++next) {
      if (nodes_[next].pieces > 0 && Reads(specs_[next], stage)) {
        longest = std::max(
            longest, weight(specs_[next]) + LongestChainAfter(next, weight));
      }
    }
    return longest;
  }

 private:
  enum class State : std::uint8_t { kWaiting, kRunning, kDone };
  struct Node {
    std::uint32_t pieces = 0;
    State state = State::kWaiting;
    std::vector<std::string> results;
  };

  static bool Reads(const StageSpec& reader, std::uint32_t stage);
  /// Number of stages in the longest chain that starts with this one.
  std::uint32_t ChainLength(std::uint32_t stage) const;
  bool IsRead(std::uint32_t stage) const;
  /// Number of stages in the longest chain with an unfinished first stage.
  std::uint32_t LongestRemainingChain() const;
  bool HasUnfinishedReader(std::uint32_t stage) const;

  std::span<const StageSpec> specs_;
  std::vector<Node> nodes_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STAGE_PLAN_H_
