// Explains the outcome of one request from the logs of any number of daemons.

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

std::string DiagnosisText(const RequestDiagnosis& diagnosis) {
  std::string text;
  for (std::size_t i = 0; i < diagnosis.steps.size(); ++i) {
    text += i == diagnosis.decisive ? "> " : "  ";
    text += diagnosis.steps[i].source + " " + diagnosis.steps[i].text + "\n";
  }
  text += "cause: " + diagnosis.cause + "\n";
  for (const std::string& missing : diagnosis.missing) {
    text += "missing: " + missing + "\n";
  }
  return text;
}

nlohmann::json DiagnosisJson(const RequestDiagnosis& diagnosis) {
  nlohmann::json steps = nlohmann::json::array();
  for (const ParsedLogLine& step : diagnosis.steps) {
    steps.push_back({{"source", step.source}, {"line", step.text}});
  }
  nlohmann::json json = {{"steps", std::move(steps)},
                         {"cause", diagnosis.cause},
                         {"missing", diagnosis.missing}};
  if (!diagnosis.steps.empty()) {
    json["decisive"] = diagnosis.decisive;
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
  const RequestDiagnosis diagnosis = timeline.Diagnose();
  Print(common.json, DiagnosisJson(diagnosis), DiagnosisText(diagnosis));
  return diagnosis.steps.empty() ? kExitFailed : kExitSuccess;
}

}  // namespace gentianroute::ctl
