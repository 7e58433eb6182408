// Demo: starts a deployment of examples/ on loopback with stand-ins, sends its
// example requests, prints each response with its cost by stage and then the
// report, and stops the daemons gracefully. For tests only.

#include <unistd.h>

#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "example_deployment.h"

namespace {

using gentianroute::testing::BinaryPath;
using gentianroute::testing::CallHttp;
using gentianroute::testing::ClientResponse;
using gentianroute::testing::EntryHost;
using gentianroute::testing::ExampleDeployment;
using gentianroute::testing::Process;
using nlohmann::json;

void PrintHeader(const ClientResponse& answer, const std::string& name) {
  const std::size_t at = answer.headers.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return;
  }
  const std::size_t end = answer.headers.find("\r\n", at + 2);
  std::printf("  %s\n", answer.headers.substr(at + 2, end - at - 2).c_str());
}

bool SendAndPrint(const ExampleDeployment& deployment,
                  const EntryHost& entry_host,
                  const json& request) {
  const std::string service = request.at("service");
  std::vector<std::string> headers = {"authorization: Bearer " +
                                      deployment.key()};
  if (request.contains("key")) {
    headers.push_back("idempotency-key: " +
                      request.at("key").get<std::string>());
  }
  const ClientResponse answer =
      CallHttp(entry_host.callers_port, "POST", "/v1/services/" + service,
               request.at("body").dump(), headers);
  std::printf("\nPOST %s at %s (%s): %d\n", service.c_str(),
              entry_host.name.c_str(), entry_host.data_centre.c_str(),
              answer.status);
  PrintHeader(answer, "x-cost-micros");
  PrintHeader(answer, "server-timing");
  std::printf("  %s\n", answer.body.c_str());
  return answer.status == 200;
}

int SendRequests(const ExampleDeployment& deployment) {
  int failed = 0;
  std::size_t next = 0;
  for (const json& request : deployment.requests()) {
    const EntryHost& entry_host =
        deployment.entry_hosts()[next++ % deployment.entry_hosts().size()];
    failed += SendAndPrint(deployment, entry_host, request) ? 0 : 1;
  }
  return failed;
}

void PrintReport(const ExampleDeployment& deployment) {
  constexpr int kReportTimeoutSeconds = 20;
  std::vector<std::string> command = {
      BinaryPath("apps/gentianctl"), "--port",
      std::to_string(deployment.entry_hosts().front().operators_port),
      "report"};
  for (const EntryHost& entry_host : deployment.entry_hosts()) {
    command.push_back("--also");
    command.push_back("127.0.0.1:" + std::to_string(entry_host.operators_port));
  }
  Process report(command, deployment.LogPath("report"));
  std::printf("\n%s", report.ReadAll().c_str());
  report.Wait(kReportTimeoutSeconds);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"runs one deployment of examples/ on loopback with stand-ins"};
  std::string folder;
  std::string logs;
  app.add_option("folder", folder, "a folder of examples/")->required();
  app.add_option("--logs", logs, "folder for the processes' logs")->required();
  int hold = 0;
  app.add_option("--hold", hold, "seconds to wait before the report")
      ->check(CLI::Range(0, 3600));
  CLI11_PARSE(app, argc, argv);
  try {
    ExampleDeployment deployment(folder, logs);
    deployment.Start();
    const int failed = SendRequests(deployment);
    std::fflush(stdout);
    sleep(static_cast<unsigned>(hold));
    PrintReport(deployment);
    return failed + deployment.Stop() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
