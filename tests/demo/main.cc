// Brings up one deployment of examples/ on loopback with stand-ins, shows an
// answered request of each service with its cost by stage, and stops it in the
// planned way. Test-only.

#include <signal.h>

#include <algorithm>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "../process/harness.h"

namespace {

namespace fs = std::filesystem;
using gentianroute::testing::Answer;
using gentianroute::testing::Binary;
using gentianroute::testing::Eventually;
using gentianroute::testing::Http;
using gentianroute::testing::Process;
using nlohmann::json;

constexpr int kStartSeconds = 20;
constexpr int kStopSeconds = 40;

json ReadJson(const fs::path& file) {
  std::ifstream input(file);
  return json::parse(input, nullptr, true, /*ignore_comments=*/true);
}

/// One entry host of the deployment.
struct Entry {
  std::string name;
  std::string data_centre;
  std::uint16_t callers = 0;
  std::uint16_t operators = 0;
  std::unique_ptr<Process> process;
};

class Demo {
 public:
  Demo(fs::path folder, fs::path logs)
      : folder_(std::move(folder)), logs_(std::move(logs)) {
    fs::create_directories(logs_);
  }

  void Start() {
    const json demo = ReadJson(folder_ / "demo.json");
    bearer_ = demo.at("key");
    requests_ = demo.at("requests");
    StartPlatform(demo.at("platform_port"));
    StartBackends();
    StartDaemons();
    Apply();
  }

  int ShowRequests() {
    int failed = 0;
    std::size_t next = 0;
    for (const json& request : requests_) {
      failed += Show(entries_[next++ % entries_.size()], request) ? 0 : 1;
    }
    return failed;
  }

  void ShowReport() {
    std::vector<std::string> command = {
        Binary("apps/gentianctl"), "--port",
        std::to_string(entries_.front().operators), "report"};
    for (const Entry& entry : entries_) {
      command.push_back("--also");
      command.push_back("127.0.0.1:" + std::to_string(entry.operators));
    }
    Process report(command, (logs_ / "report.err").string());
    std::printf("\n%s", report.ReadAll().c_str());
    report.Wait(kStartSeconds);
  }

  int Stop() {
    for (const Entry& entry : entries_) {
      entry.process->Signal(SIGTERM);
    }
    int failed = 0;
    for (const Entry& entry : entries_) {
      const int status = entry.process->Wait(kStopSeconds);
      failed += status == 0 ? 0 : 1;
      if (status != 0) {
        std::printf("%s ended with %d; see %s\n", entry.name.c_str(), status,
                    logs_.c_str());
      }
    }
    std::printf("%zu daemons stopped, %d of them not cleanly\n",
                entries_.size(), failed);
    return failed;
  }

 private:
  void StartPlatform(std::uint16_t port) {
    platform_port_ = port;
    platform_ = std::make_unique<Process>(
        std::vector<std::string>{Binary("standins/standin"), "platform",
                                 "--port", std::to_string(port)},
        (logs_ / "platform.err").string());
    platform_->ReadPort();
  }

  void StartBackends() {
    json hosts = ReadJson(folder_ / "hosts.json");
    for (json& host : hosts) {
      if (host.at("pool") == "gentianroute") {
        continue;
      }
      const std::string name = host.at("name");
      backends_.push_back(std::make_unique<Process>(
          std::vector<std::string>{Binary("standins/standin"), "backend",
                                   "--name", name},
          (logs_ / (name + ".err")).string()));
      host["port"] = backends_.back()->ReadPort();
    }
    Http(platform_port_, "PUT", "/control/hosts", hosts.dump());
    std::printf("%zu backend servers and the platform's stand-in are up\n",
                backends_.size());
  }

  void StartDaemons() {
    std::vector<fs::path> files;
    for (const auto& file : fs::directory_iterator(folder_ / "settings")) {
      files.push_back(file.path());
    }
    std::ranges::sort(files);
    for (const fs::path& file : files) {
      const json settings = ReadJson(file);
      Entry entry;
      entry.name = settings.at("name");
      entry.data_centre = settings.at("dataCentre");
      entry.callers = settings.at("callers").at("port");
      entry.operators = settings.at("operators").at("port");
      entry.process = std::make_unique<Process>(
          std::vector<std::string>{Binary("apps/gentianroute"), "--settings",
                                   file.string()},
          (logs_ / (entry.name + ".err")).string());
      entries_.push_back(std::move(entry));
    }
    for (const Entry& entry : entries_) {
      const bool up = Eventually(kStartSeconds, [&entry] {
        return Http(entry.operators, "GET", "/healthz", "").status == 200;
      });
      if (!up) {
        throw std::runtime_error(entry.name + " did not come up; see " +
                                 logs_.string());
      }
    }
    std::printf("%zu daemons are up\n", entries_.size());
  }

  void Apply() {
    Process apply({Binary("apps/gentianctl"), "--port",
                   std::to_string(entries_.front().operators), "apply",
                   "--wait", std::to_string(kStartSeconds), "--author", "demo",
                   (folder_ / "profiles.json").string()},
                  (logs_ / "apply.err").string());
    const std::string text = apply.ReadAll();
    if (apply.Wait(2 * kStartSeconds) != 0) {
      throw std::runtime_error("apply failed; see " + logs_.string());
    }
    // Before this line come the documents, which the folder shows better.
    const std::size_t summary = text.find("applied as");
    std::printf("profiles %s",
                text.substr(std::min(summary, text.size())).c_str());
    for (const Entry& entry : entries_) {
      Eventually(kStartSeconds, [&entry] {
        return Http(entry.operators, "GET", "/readyz", "").status == 200;
      });
    }
  }

  bool Show(const Entry& entry, const json& request) {
    const std::string service = request.at("service");
    std::vector<std::string> headers = {"authorization: Bearer " + bearer_};
    if (request.contains("key")) {
      headers.push_back("idempotency-key: " +
                        request.at("key").get<std::string>());
    }
    const Answer answer = Http(entry.callers, "POST", "/v1/services/" + service,
                               request.at("body").dump(), headers);
    std::printf("\nPOST %s at %s (%s): %d\n", service.c_str(),
                entry.name.c_str(), entry.data_centre.c_str(), answer.status);
    PrintHeader(answer, "x-cost-micros");
    PrintHeader(answer, "server-timing");
    std::printf("  %s\n", answer.body.c_str());
    return answer.status == 200;
  }

  static void PrintHeader(const Answer& answer, const std::string& name) {
    const std::size_t at = answer.headers.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return;
    }
    const std::size_t end = answer.headers.find("\r\n", at + 2);
    std::printf("  %s\n", answer.headers.substr(at + 2, end - at - 2).c_str());
  }

  fs::path folder_;
  fs::path logs_;
  std::string bearer_;
  json requests_;
  std::uint16_t platform_port_ = 0;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> backends_;
  std::vector<Entry> entries_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"one deployment on loopback with stand-ins"};
  std::string folder;
  std::string logs;
  app.add_option("folder", folder, "a folder of examples/")->required();
  app.add_option("--logs", logs, "folder for the processes' logs")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    Demo demo(folder, logs);
    demo.Start();
    const int failed = demo.ShowRequests();
    demo.ShowReport();
    return failed + demo.Stop() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
