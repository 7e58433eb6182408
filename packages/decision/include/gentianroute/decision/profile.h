#ifndef GENTIANROUTE_DECISION_PROFILE_H_
#define GENTIANROUTE_DECISION_PROFILE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief What a profile weighs more.
enum class Objective : std::uint8_t {
  kAttainment,  ///< the deadline goes before the price
  kCost,        ///< the cheapest way that still meets the deadline
};

/// @brief One stage of a pipeline.
struct StageSpec {
  std::string name;
  std::string pool;
  bool streams = false;
  bool repeatable = true;
  bool deduplicates_by_key = false;
  Duration first_byte_timeout = std::chrono::seconds(1);
  std::uint32_t max_attempts = 3;
  Duration hedge_after{0};  ///< zero: never hedged
  Duration expected{std::chrono::milliseconds(50)};
  std::int64_t cost_per_call = 0;  ///< micro-euros
  std::int64_t cost_per_unit = 0;  ///< micro-euros

  /// @brief Whether a second call could do a second time what must not.
  bool MayRepeat() const { return repeatable || deduplicates_by_key; }
};

/// @brief A named profile, as in force at one revision.
struct Profile {
  std::string name;
  std::uint64_t revision = 0;
  Objective objective = Objective::kAttainment;
  Duration deadline = std::chrono::seconds(6);
  bool cross_region = true;
  std::vector<StageSpec> stages;

  /// @brief Whether a request under this profile needs a claim on its key.
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

/// @brief What an engine runs, or should run: its whole state, so that an order
/// that states it can be repeated.
struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/// @brief Engines that should run the same: those named, and `count` others.
struct EngineGroup {
  EngineState state;
  std::uint32_t count = 0;
  std::vector<std::string> servers;
};

struct PoolSpec {
  std::string name;
  PoolKind kind = PoolKind::kService;
  bool fenced = false;  ///< its engines refuse an order with an old number
  std::vector<EngineGroup> engines;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_PROFILE_H_
