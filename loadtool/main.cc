// Open-loop load generator for tests: sends requests to daemons and prints the
// results.

#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "load_run.h"

namespace {

using gentianroute::load::LoadOptions;
using gentianroute::load::TargetService;

/// Parses NAME[=WEIGHT][,keyed][,stream].
TargetService ParseTargetService(const std::string& text) {
  TargetService target;
  std::string name = text.substr(0, text.find(','));
  const std::size_t equals = name.find('=');
  if (equals != std::string::npos) {
    target.weight = std::stod(name.substr(equals + 1));
    name.resize(equals);
  }
  target.service = name;
  target.sends_key = text.find(",keyed") != std::string::npos;
  target.streamed = text.find(",stream") != std::string::npos;
  return target;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"open-loop load on gentianroute daemons, on loopback"};
  LoadOptions options;
  std::vector<std::string> services;
  double seconds = 5;
  std::int64_t deadline_ms = 6000;
  std::string output = "text";
  app.add_option("--port", options.ports, "callers' ports, used round robin")
      ->required();
  app.add_option("--key", options.keys, "bearer keys, used round robin")
      ->required();
  app.add_option("--service", services, "NAME[=WEIGHT][,keyed][,stream]")
      ->required();
  app.add_option("--rate", options.rate, "requests a second")
      ->check(CLI::Range(0.1, 20000.0));
  app.add_option("--seconds", seconds)->check(CLI::Range(0.1, 600.0));
  app.add_option("--deadline-ms", deadline_ms)->check(CLI::Range(1, 600000));
  app.add_option("--seed", options.seed);
  app.add_option("--output", output)->check(CLI::IsMember({"text", "json"}));
  CLI11_PARSE(app, argc, argv);

  for (const std::string& service : services) {
    options.targets.push_back(ParseTargetService(service));
  }
  constexpr double kMicrosPerSecond = 1e6;
  options.duration = gentianroute::Duration(
      static_cast<std::int64_t>(seconds * kMicrosPerSecond));
  options.deadline = std::chrono::milliseconds(deadline_ms);
  gentianroute::EventLoop loop;
  const auto result = gentianroute::load::LoadRun(loop, options).Run();
  if (output == "json") {
    std::printf("%s\n", result.ToJson().dump(2).c_str());
  } else {
    std::printf("%s", result.ToText().c_str());
  }
  return 0;
}
