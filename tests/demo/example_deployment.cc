#include "example_deployment.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace gentianroute::testing {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kStartTimeoutSeconds = 20;
constexpr int kStopTimeoutSeconds = 40;

json ReadJson(const fs::path& file) {
  std::ifstream input(file);
  return json::parse(input, nullptr, true, /*ignore_comments=*/true);
}

}  // namespace

ExampleDeployment::ExampleDeployment(fs::path folder, fs::path logs, int tokens)
    : folder_(std::move(folder)), logs_(std::move(logs)), tokens_(tokens) {
  fs::create_directories(logs_);
}

std::string ExampleDeployment::LogPath(const std::string& name) const {
  return (logs_ / (name + ".err")).string();
}

void ExampleDeployment::Start() {
  const json demo = ReadJson(folder_ / "demo.json");
  key_ = demo.at("key");
  requests_ = demo.at("requests");
  StartPlatform(demo.at("platform_port"));
  StartBackends();
  StartDaemons();
  Apply();
}

int ExampleDeployment::Stop() {
  for (const EntryHost& entry_host : entry_hosts_) {
    entry_host.process->Signal(SIGTERM);
  }
  int failed = 0;
  for (const EntryHost& entry_host : entry_hosts_) {
    const int status = entry_host.process->Wait(kStopTimeoutSeconds);
    failed += status == 0 ? 0 : 1;
    if (status != 0) {
      std::printf("%s exited with status %d; see %s\n", entry_host.name.c_str(),
                  status, logs_.c_str());
    }
  }
  std::printf("%zu daemons stopped, %d of them with an error\n",
              entry_hosts_.size(), failed);
  return failed;
}

void ExampleDeployment::StartPlatform(std::uint16_t port) {
  platform_port_ = port;
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("standins/standin"), "platform",
                               "--port", std::to_string(port)},
      LogPath("platform"));
  platform_->ReadPort();
}

void ExampleDeployment::StartBackends() {
  json hosts = ReadJson(folder_ / "hosts.json");
  for (json& host : hosts) {
    if (host.at("pool") == "gentianroute") {
      continue;
    }
    const std::string name = host.at("name");
    backends_.push_back(std::make_unique<Process>(
        std::vector<std::string>{BinaryPath("standins/standin"), "backend",
                                 "--name", name, "--tokens",
                                 std::to_string(tokens_)},
        LogPath(name)));
    host["port"] = backends_.back()->ReadPort();
  }
  CallHttp(platform_port_, "PUT", "/control/hosts", hosts.dump());
  std::ofstream(logs_ / "hosts.json") << hosts.dump(2) << "\n";
  std::printf("started %zu backend servers and the platform's stand-in\n",
              backends_.size());
}

void ExampleDeployment::StartDaemons() {
  std::vector<fs::path> files;
  for (const auto& file : fs::directory_iterator(folder_ / "settings")) {
    files.push_back(file.path());
  }
  std::ranges::sort(files);
  for (const fs::path& file : files) {
    const json settings = ReadJson(file);
    EntryHost entry_host;
    entry_host.name = settings.at("name");
    entry_host.data_centre = settings.at("dataCentre");
    entry_host.callers_port = settings.at("callers").at("port");
    entry_host.operators_port = settings.at("operators").at("port");
    entry_host.process = std::make_unique<Process>(
        std::vector<std::string>{BinaryPath("apps/gentianroute"), "--settings",
                                 file.string()},
        LogPath(entry_host.name));
    entry_hosts_.push_back(std::move(entry_host));
  }
  for (const EntryHost& entry_host : entry_hosts_) {
    const bool healthy = Eventually(kStartTimeoutSeconds, [&entry_host] {
      return CallHttp(entry_host.operators_port, "GET", "/healthz", "")
                 .status == 200;
    });
    if (!healthy) {
      throw std::runtime_error(entry_host.name + " did not start; see " +
                               logs_.string());
    }
  }
  std::printf("started %zu daemons\n", entry_hosts_.size());
}

void ExampleDeployment::Apply() {
  Process apply({BinaryPath("apps/gentianctl"), "--port",
                 std::to_string(entry_hosts_.front().operators_port), "apply",
                 "--wait", std::to_string(kStartTimeoutSeconds), "--author",
                 "demo", (folder_ / "profiles.json").string()},
                LogPath("apply"));
  const std::string text = apply.ReadAll();
  if (apply.Wait(2 * kStartTimeoutSeconds) != 0) {
    throw std::runtime_error("apply failed; see " + logs_.string());
  }
  // Skips the list of documents before this line; profiles.json has them.
  const std::size_t summary = text.find("applied as");
  std::printf("profiles %s",
              text.substr(std::min(summary, text.size())).c_str());
  for (const EntryHost& entry_host : entry_hosts_) {
    Eventually(kStartTimeoutSeconds, [&entry_host] {
      return CallHttp(entry_host.operators_port, "GET", "/readyz", "").status ==
             200;
    });
  }
}

}  // namespace gentianroute::testing
