#ifndef GENTIANROUTE_BENCHMARKS_SCENARIOS_H_
#define GENTIANROUTE_BENCHMARKS_SCENARIOS_H_

#include <span>

#include "report.h"

namespace gentianroute::bench {

struct ScenarioOptions {
  std::uint64_t seed = 1;
  bool quick = false;  ///< shorter runs, for smoke tests
};

/// @brief An experiment that compares policies with their baselines.
struct Scenario {
  const char* name;
  const char* about;  ///< one-line description
  void (*run)(const ScenarioOptions& options, Report& report);
};

std::span<const Scenario> AllScenarios();

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_SCENARIOS_H_
