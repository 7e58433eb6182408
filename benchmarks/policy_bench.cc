// Simulates the decision policies in virtual time:
// `policy_bench SCENARIO [--json]`.

#include <CLI/CLI.hpp>
#include <iostream>

#include "scenarios.h"

namespace gentianroute::bench {
namespace {

int RunScenarios(const std::string& name,
                 const ScenarioOptions& options,
                 bool json) {
  bool failed = false;
  for (const Scenario& scenario : AllScenarios()) {
    if (name != "all" && name != scenario.name) {
      continue;
    }
    Report report;
    report.scenario = scenario.name;
    report.seed = options.seed;
    scenario.run(options, report);
    json ? report.WriteJson(std::cout) : report.WriteText(std::cout);
    failed = failed || !report.failures.empty();
  }
  return failed ? 1 : 0;
}

}  // namespace
}  // namespace gentianroute::bench

int main(int argc, char** argv) {
  using gentianroute::bench::AllScenarios;
  CLI::App app("Simulates gentianroute's decision policies in virtual time.");
  std::vector<std::string> names = {"all"};
  for (const auto& scenario : AllScenarios()) {
    names.emplace_back(scenario.name);
  }
  std::string name;
  gentianroute::bench::ScenarioOptions options;
  bool json = false;
  app.add_option("scenario", name, "scenario to run")
      ->required()
      ->check(CLI::IsMember(names));
  app.add_option("--seed", options.seed, "random seed");
  app.add_flag("--json", json, "print JSON instead of a table");
  app.add_flag("--quick", options.quick, "shorter runs, for smoke tests");
  CLI11_PARSE(app, argc, argv);
  return gentianroute::bench::RunScenarios(name, options, json);
}
