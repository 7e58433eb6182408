#ifndef GENTIANROUTE_BENCHMARKS_SCENARIOS_H_
#define GENTIANROUTE_BENCHMARKS_SCENARIOS_H_

#include <span>

#include "report.h"

namespace gentianroute::bench {

struct ScenarioOptions {
  std::uint64_t seed = 1;
  bool quick = false;  ///< a small size, for the smoke test
};

/// @brief One measurement with its baseline beside it.
struct Scenario {
  const char* name;
  const char* about;
  void (*run)(const ScenarioOptions& options, Report& report);
};

std::span<const Scenario> AllScenarios();

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_SCENARIOS_H_
