// Measures what the daemons of one deployment of examples/ cost: processor time
// and memory while nothing is asked of them, and under load. Test-only; the
// figures go into docs/CAPACITY.md.

#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "example.h"

namespace {

using gentianroute::testing::BinaryPath;
using gentianroute::testing::Entry;
using gentianroute::testing::Example;
using gentianroute::testing::Process;
using nlohmann::json;

/// Means over the daemons, since they started.
struct Use {
  double processor_ms = 0;
  double memory_kb = 0;
};

double ProcessorMs(pid_t pid) {
  constexpr int kFieldsBeforeUserTime = 13;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    file >> skipped;
  }
  double user = 0;
  double system = 0;
  file >> user >> system;
  constexpr double kMilliseconds = 1000;
  return (user + system) * kMilliseconds /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

double MemoryKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  constexpr double kKilobyte = 1024;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kKilobyte;
}

Use MeanUse(const Example& example) {
  Use use;
  for (const Entry& entry : example.entries()) {
    use.processor_ms += ProcessorMs(entry.process->id());
    use.memory_kb += MemoryKb(entry.process->id());
  }
  const auto count = static_cast<double>(example.entries().size());
  return {use.processor_ms / count, use.memory_kb / count};
}

/// Runs the load tool over all daemons.
/// @return what it printed, as JSON
json Load(const Example& example, double rate, int seconds) {
  std::vector<std::string> command = {BinaryPath("loadtool/load"),
                                      "--output",
                                      "json",
                                      "--rate",
                                      std::to_string(rate),
                                      "--seconds",
                                      std::to_string(seconds),
                                      "--key",
                                      example.key()};
  for (const Entry& entry : example.entries()) {
    command.push_back("--port");
    command.push_back(std::to_string(entry.callers));
  }
  for (const json& request : example.requests()) {
    command.push_back("--service");
    command.push_back(request.at("service").get<std::string>() +
                      (request.contains("key") ? ",keyed" : ""));
  }
  Process load(command, example.Log("load"));
  const std::string text = load.ReadAll();
  load.Wait(seconds);
  return json::parse(text);
}

void Report(const json& load,
            const Use& before,
            const Use& after,
            std::size_t daemons) {
  double sent = 0;
  for (const auto& [name, service] : load.at("services").items()) {
    std::printf("  %s: sent=%s attainment=%.4f p95=%.1f ms\n", name.c_str(),
                service.at("sent").dump().c_str(),
                service.at("attainment").get<double>(),
                service.at("ms").at("p95").get<double>());
    sent += service.at("sent").get<double>();
  }
  const double each = sent / static_cast<double>(daemons);
  std::printf("  processor time a request: %.3f ms\n",
              (after.processor_ms - before.processor_ms) / each);
  std::printf("  resident memory: %.0f kB a daemon\n", after.memory_kb);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cost of a deployment's daemons, idle and under load"};
  std::string folder;
  std::string logs;
  int idle = 20;
  int seconds = 20;
  double rate = 1000;
  app.add_option("folder", folder, "a folder of examples/")->required();
  app.add_option("--logs", logs, "folder for the processes' logs")->required();
  int tokens = 16;
  app.add_option("--tokens", tokens, "of each generated answer")
      ->check(CLI::Range(1, 10000));
  app.add_option("--idle", idle, "seconds")->check(CLI::Range(1, 600));
  app.add_option("--seconds", seconds, "of load")->check(CLI::Range(1, 600));
  app.add_option("--rate", rate, "requests a second")
      ->check(CLI::Range(1.0, 5000.0));
  CLI11_PARSE(app, argc, argv);
  try {
    Example example(folder, logs, tokens);
    example.Start();
    const Use begin = MeanUse(example);
    sleep(static_cast<unsigned>(idle));
    const Use rested = MeanUse(example);
    std::printf("idle: %.3f ms of processor time a second, %.0f kB resident\n",
                (rested.processor_ms - begin.processor_ms) / idle,
                rested.memory_kb);
    const json load = Load(example, rate, seconds);
    std::printf("load:\n");
    Report(load, rested, MeanUse(example), example.entries().size());
    return example.Stop() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
