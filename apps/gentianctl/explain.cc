// Why one request ended as it did, from the lines of any number of daemons.

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "gentianroute/observe/log_timeline.h"

namespace gentianroute::ctl {
namespace {

void ReadLines(std::istream& input,
               const std::string& source,
               LogTimeline& timeline) {
  std::string line;
  while (std::getline(input, line)) {
    timeline.Add(source, line);
  }
}

std::string TextOf(const RequestDiagnosis& story) {
  std::string text;
  for (std::size_t i = 0; i < story.steps.size(); ++i) {
    text += i == story.decisive ? "> " : "  ";
    text += story.steps[i].source + " " + story.steps[i].text + "\n";
  }
  text += "cause: " + story.cause + "\n";
  for (const std::string& missing : story.missing) {
    text += "missing: " + missing + "\n";
  }
  return text;
}

nlohmann::json JsonOf(const RequestDiagnosis& story) {
  nlohmann::json steps = nlohmann::json::array();
  for (const ParsedLogLine& step : story.steps) {
    steps.push_back({{"source", step.source}, {"line", step.text}});
  }
  nlohmann::json json = {{"steps", std::move(steps)},
                         {"cause", story.cause},
                         {"missing", story.missing}};
  if (!story.steps.empty()) {
    json["decisive"] = story.decisive;
  }
  return json;
}

}  // namespace

ExitCode Explain(const CommonOptions& common,
                 const std::string& request,
                 const std::vector<std::string>& files) {
  LogTimeline timeline(request);
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "can't read '" << name << "'\n";
      return kExitInvalid;
    }
    ReadLines(file, name, timeline);
  }
  if (files.empty()) {
    ReadLines(std::cin, "", timeline);
  }
  const RequestDiagnosis story = timeline.Diagnose();
  Print(common.json, JsonOf(story), TextOf(story));
  return story.steps.empty() ? kExitFailed : kExitDone;
}

}  // namespace gentianroute::ctl
