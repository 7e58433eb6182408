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

/// @brief How far one request has come in its graph of stages.
///
/// A result dies with the server that made it, so a stage may have to be made
/// again; everything that needs no remaking stays.
class StagePlan {
 public:
  /// @param pieces of each stage; 0: the request does without it
  StagePlan(std::span<const StageSpec> stages,
            std::span<const std::uint32_t> pieces);

  /// @brief Stages whose inputs are there, that have not begun, and whose
  /// results will soon be read.
  ///
  /// A result takes up room at its maker until it is read. A stage beside a
  /// longer chain would be done long before that chain, and its large results
  /// would fill its servers meanwhile; so it begins with the chain's last
  /// stages.
  /// @complexity quadratic in the stages, of which there are few
  std::vector<std::uint32_t> Ready() const;
  void Start(std::uint32_t stage);
  void Finish(std::uint32_t stage, std::vector<std::string> results);
  /// @brief An input of a stage, or of the request's own call, is gone: all
  /// that it needs is made again.
  /// @param stage number of stages: the request's own call
  /// @return results that are of no more use
  std::vector<StageResults> RecomputeInputs(std::uint32_t stage);

  /// @brief Whether all stages are done.
  bool complete() const;
  /// @brief Results that a stage reads, in the order of its `after`.
  std::vector<std::string> InputsOf(std::uint32_t stage) const;
  /// @brief Stages whose results the request's own call reads.
  std::vector<std::uint32_t> FinalStages() const;
  /// @brief Results that the request's own call reads.
  std::vector<std::string> FinalInputs() const;
  /// @brief Takes out the results that no unfinished stage will read; those
  /// that the request's own call reads stay.
  std::vector<StageResults> TakeUnneeded();
  /// @brief Takes out all results, at the end of a request.
  std::vector<StageResults> TakeAll();

  std::uint32_t pieces(std::uint32_t stage) const {
    return nodes_[stage].pieces;
  }
  std::size_t stages() const { return nodes_.size(); }
  const StageSpec& spec(std::uint32_t stage) const { return specs_[stage]; }
  /// @brief The longest chain of stages that read this one, by a weight of
  /// each; stages that the request does without weigh nothing.
  /// @param weight of a StageSpec; its type is that of the result
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
  /// Stages in the longest chain that begins with this one.
  std::uint32_t ChainLength(std::uint32_t stage) const;
  bool IsRead(std::uint32_t stage) const;
  /// Stages in the longest chain that is still to be done.
  std::uint32_t LongestRemainingChain() const;
  bool HasUnfinishedReader(std::uint32_t stage) const;

  std::span<const StageSpec> specs_;
  std::vector<Node> nodes_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STAGE_PLAN_H_
