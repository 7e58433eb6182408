// Brings up one deployment of examples/ on loopback with stand-ins, shows an
// answered request of each service with its cost by stage, and stops it in the
// planned way. Test-only.

#include <unistd.h>

#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "example.h"

namespace {

using gentianroute::testing::BinaryPath;
using gentianroute::testing::CallHttp;
using gentianroute::testing::ClientResponse;
using gentianroute::testing::Entry;
using gentianroute::testing::Example;
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

bool Show(const Example& example, const Entry& entry, const json& request) {
  const std::string service = request.at("service");
  std::vector<std::string> headers = {"authorization: Bearer " + example.key()};
  if (request.contains("key")) {
    headers.push_back("idempotency-key: " +
                      request.at("key").get<std::string>());
  }
  const ClientResponse answer =
      CallHttp(entry.callers, "POST", "/v1/services/" + service,
               request.at("body").dump(), headers);
  std::printf("\nPOST %s at %s (%s): %d\n", service.c_str(), entry.name.c_str(),
              entry.data_centre.c_str(), answer.status);
  PrintHeader(answer, "x-cost-micros");
  PrintHeader(answer, "server-timing");
  std::printf("  %s\n", answer.body.c_str());
  return answer.status == 200;
}

int ShowRequests(const Example& example) {
  int failed = 0;
  std::size_t next = 0;
  for (const json& request : example.requests()) {
    const Entry& entry = example.entries()[next++ % example.entries().size()];
    failed += Show(example, entry, request) ? 0 : 1;
  }
  return failed;
}

void ShowReport(const Example& example) {
  constexpr int kReportSeconds = 20;
  std::vector<std::string> command = {
      BinaryPath("apps/gentianctl"), "--port",
      std::to_string(example.entries().front().operators), "report"};
  for (const Entry& entry : example.entries()) {
    command.push_back("--also");
    command.push_back("127.0.0.1:" + std::to_string(entry.operators));
  }
  Process report(command, example.Log("report"));
  std::printf("\n%s", report.ReadAll().c_str());
  report.Wait(kReportSeconds);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"one deployment on loopback with stand-ins"};
  std::string folder;
  std::string logs;
  app.add_option("folder", folder, "a folder of examples/")->required();
  app.add_option("--logs", logs, "folder for the processes' logs")->required();
  int hold = 0;
  app.add_option("--hold", hold, "seconds to stay up before the report")
      ->check(CLI::Range(0, 3600));
  CLI11_PARSE(app, argc, argv);
  try {
    Example example(folder, logs);
    example.Start();
    const int failed = ShowRequests(example);
    std::fflush(stdout);
    sleep(static_cast<unsigned>(hold));
    ShowReport(example);
    return failed + example.Stop() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
