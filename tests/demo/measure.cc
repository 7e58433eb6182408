// Measures processor time and memory of the daemons of one deployment of
// examples/, idle and under load. For tests only; the figures go into
// docs/CAPACITY.md.

#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "example_deployment.h"

namespace {

using gentianroute::testing::BinaryPath;
using gentianroute::testing::EntryHost;
using gentianroute::testing::ExampleDeployment;
using gentianroute::testing::Process;
using nlohmann::json;

/// Means over the daemons; the processor time counts from their start.
struct ResourceUsage {
  double processor_ms = 0;
  double memory_kb = 0;  ///< resident
};

double ReadProcessorMs(pid_t pid) {
  constexpr int kFieldsBeforeUserTime = 13;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    file >> skipped;
  }
  double user = 0;
  double system = 0;
  file >> user >> system;
  constexpr double kMillisecondsPerSecond = 1000;
  return (user + system) * kMillisecondsPerSecond /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ReadMemoryKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  constexpr double kBytesPerKilobyte = 1024;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         kBytesPerKilobyte;
}

ResourceUsage MeanUsage(const ExampleDeployment& deployment) {
  ResourceUsage usage;
  for (const EntryHost& entry_host : deployment.entry_hosts()) {
    usage.processor_ms += ReadProcessorMs(entry_host.process->id());
    usage.memory_kb += ReadMemoryKb(entry_host.process->id());
  }
  const auto count = static_cast<double>(deployment.entry_hosts().size());
  return {usage.processor_ms / count, usage.memory_kb / count};
}

/// Runs the load generator against all daemons.
/// @return its JSON output
json RunLoad(const ExampleDeployment& deployment, double rate, int seconds) {
  std::vector<std::string> command = {BinaryPath("loadtool/load"),
                                      "--output",
                                      "json",
                                      "--rate",
                                      std::to_string(rate),
                                      "--seconds",
                                      std::to_string(seconds),
                                      "--key",
                                      deployment.key()};
  for (const EntryHost& entry_host : deployment.entry_hosts()) {
    command.push_back("--port");
    command.push_back(std::to_string(entry_host.callers_port));
  }
  for (const json& request : deployment.requests()) {
    command.push_back("--service");
    command.push_back(request.at("service").get<std::string>() +
                      (request.contains("key") ? ",keyed" : ""));
  }
  Process load(command, deployment.LogPath("load"));
  const std::string text = load.ReadAll();
  load.Wait(seconds);
  return json::parse(text);
}

void PrintLoad(const json& load,
               const ResourceUsage& before,
               const ResourceUsage& after,
               std::size_t daemons) {
  double sent = 0;
  for (const auto& [name, service] : load.at("services").items()) {
    std::printf("  %s: sent=%s attainment=%.4f p95=%.1f ms\n", name.c_str(),
                service.at("sent").dump().c_str(),
                service.at("attainment").get<double>(),
                service.at("ms").at("p95").get<double>());
    sent += service.at("sent").get<double>();
  }
  const double requests_per_daemon = sent / static_cast<double>(daemons);
  std::printf("  processor time a request: %.3f ms\n",
              (after.processor_ms - before.processor_ms) / requests_per_daemon);
  std::printf("  resident memory: %.0f kB a daemon\n", after.memory_kb);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"measures a deployment's daemons, idle and under load"};
  std::string folder;
  std::string logs;
  int idle = 20;
  int seconds = 20;
  double rate = 1000;
  app.add_option("folder", folder, "a folder of examples/")->required();
  app.add_option("--logs", logs, "folder for the processes' logs")->required();
  int tokens = 16;
  app.add_option("--tokens", tokens, "per generated response")
      ->check(CLI::Range(1, 10000));
  app.add_option("--idle", idle, "seconds without load")
      ->check(CLI::Range(1, 600));
  app.add_option("--seconds", seconds, "seconds of load")
      ->check(CLI::Range(1, 600));
  app.add_option("--rate", rate, "requests a second")
      ->check(CLI::Range(1.0, 5000.0));
  CLI11_PARSE(app, argc, argv);
  try {
    ExampleDeployment deployment(folder, logs, tokens);
    deployment.Start();
    const ResourceUsage before_idle = MeanUsage(deployment);
    sleep(static_cast<unsigned>(idle));
    const ResourceUsage after_idle = MeanUsage(deployment);
    std::printf("idle: %.3f ms of processor time a second, %.0f kB resident\n",
                (after_idle.processor_ms - before_idle.processor_ms) / idle,
                after_idle.memory_kb);
    const json load = RunLoad(deployment, rate, seconds);
    std::printf("load:\n");
    PrintLoad(load, after_idle, MeanUsage(deployment),
              deployment.entry_hosts().size());
    return deployment.Stop() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
