// Fault soak test: runs real daemon processes under faults drawn from seeds.

#include <cstdio>
#include <exception>
#include <string>

#include <CLI/CLI.hpp>

#include "soak_run.h"

namespace {

using gentianroute::soak::SoakOptions;
using gentianroute::soak::SoakReport;
using gentianroute::soak::SoakRun;

void Print(std::uint64_t seed, const SoakReport& report, bool with_faults) {
  std::printf(
      "seed %llu: %zu requests, %zu answered, %zu of them refused, "
      "%zu faults, %zu streams taken up, %zu went on, %zu violations\n",
      static_cast<unsigned long long>(seed), report.requests, report.answered,
      report.refused, report.faults.size(), report.taken_up, report.went_on,
      report.violations.size());
  constexpr std::size_t kMaxLines = 20;
  for (std::size_t i = 0; i < report.violations.size() && i < kMaxLines; ++i) {
    std::printf("  VIOLATION %s\n", report.violations[i].c_str());
  }
  for (const std::string& fault : report.faults) {
    if (with_faults || !report.violations.empty()) {
      std::printf("  %s\n", fault.c_str());
    }
  }
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"runs gentianroute daemons under random faults"};
  std::uint64_t first = 1;
  std::uint64_t seeds = 1;
  std::uint64_t seconds = 8;
  bool with_faults = false;
  SoakOptions options;
  options.folder = ".";
  app.add_option("--seed", first, "first seed");
  app.add_option("--seeds", seeds, "number of seeds");
  app.add_option("--seconds", seconds, "duration of the faults of a run");
  app.add_option("--daemons", options.daemons, "number of daemon processes");
  app.add_option("--callers", options.callers, "number of concurrent callers");
  app.add_option("--only", options.only, "part of the names of the faults");
  app.add_option("--max-gap-ms", options.max_gap_ms,
                 "longest time between two faults");
  app.add_option("--folder", options.folder, "directory for settings and logs");
  app.add_flag("--faults", with_faults, "print the faults of each run");
  CLI11_PARSE(app, argc, argv);
  gentianroute::testing::KillProcessesOnSignals();
  options.length = std::chrono::seconds(seconds);
  std::size_t failed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    options.seed = seed;
    try {
      const SoakReport report = SoakRun(options).Run();
      Print(seed, report, with_faults);
      failed += report.violations.empty() ? 0 : 1;
    } catch (const std::exception& error) {
      std::printf("seed %llu: not run: %s\n",
                  static_cast<unsigned long long>(seed), error.what());
      ++failed;
    }
  }
  return failed == 0 ? 0 : 1;
}
