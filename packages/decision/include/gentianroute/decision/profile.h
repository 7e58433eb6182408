#ifndef GENTIANROUTE_DECISION_PROFILE_H_
#define GENTIANROUTE_DECISION_PROFILE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief What routing optimises for.
enum class Objective : std::uint8_t {
  kAttainment,  ///< meeting the deadline, at a higher price if needed
  kCost,        ///< the lowest price that still meets the deadline
};

/// @brief One stage of a pipeline.
struct StageSpec {
  std::string name;
  std::string pool;
  bool streams = false;              ///< the response is a stream of tokens
  bool repeatable = true;            ///< may run more than once for one request
  bool deduplicates_by_key = false;  ///< servers ignore repeats of a call's key
  Duration first_byte_timeout = std::chrono::seconds(1);
  std::uint32_t max_attempts = 3;
  Duration hedge_after{0};  ///< delay before a hedged call; zero: never hedged
  Duration expected{std::chrono::milliseconds(50)};  ///< of one call
  std::int64_t cost_per_call = 0;                    ///< micro-euros
  std::int64_t cost_per_unit = 0;                    ///< micro-euros

  /// @brief Whether the stage may be called again after a call that may have
  /// run.
  bool MayRepeat() const { return repeatable || deduplicates_by_key; }
};

/// @brief A profile as of one configuration revision: the stages that a service
/// runs, and their objective.
struct Profile {
  std::string name;
  std::uint64_t revision = 0;
  Objective objective = Objective::kAttainment;
  Duration deadline = std::chrono::seconds(6);
  bool cross_region = true;
  std::vector<StageSpec> stages;

  /// @brief Whether a stage is not repeatable, so that requests need a claim on
  /// their idempotency key.
  bool HasEffect() const {
    for (const StageSpec& stage : stages) {
      if (!stage.repeatable) {
        return true;
      }
    }
    return false;
  }
};

struct ServiceSpec {
  std::string name;
  std::string profile;
};

enum class PoolKind : std::uint8_t { kService, kEngine };

/// @brief Complete state of an engine, actual or desired. An order holds all of
/// it and is therefore idempotent.
struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/// @brief Engines with the same desired state: `servers`, and `count` others.
struct EngineGroup {
  EngineState state;
  std::uint32_t count = 0;
  std::vector<std::string> servers;
};

struct PoolSpec {
  std::string name;
  PoolKind kind = PoolKind::kService;
  bool fenced = false;  ///< engines reject orders with an old fencing token
  std::vector<EngineGroup> engines;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_PROFILE_H_
