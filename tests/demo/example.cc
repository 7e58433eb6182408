#include "example.h"

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

constexpr int kStartSeconds = 20;
constexpr int kStopSeconds = 40;

json ReadJson(const fs::path& file) {
  std::ifstream input(file);
  return json::parse(input, nullptr, true, /*ignore_comments=*/true);
}

}  // namespace

Example::Example(fs::path folder, fs::path logs, int tokens)
    : folder_(std::move(folder)), logs_(std::move(logs)), tokens_(tokens) {
  fs::create_directories(logs_);
}

std::string Example::Log(const std::string& name) const {
  return (logs_ / (name + ".err")).string();
}

void Example::Start() {
  const json demo = ReadJson(folder_ / "demo.json");
  key_ = demo.at("key");
  requests_ = demo.at("requests");
  StartPlatform(demo.at("platform_port"));
  StartBackends();
  StartDaemons();
  Apply();
}

int Example::Stop() {
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
  std::printf("%zu daemons stopped, %d of them not cleanly\n", entries_.size(),
              failed);
  return failed;
}

void Example::StartPlatform(std::uint16_t port) {
  platform_port_ = port;
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("standins/standin"), "platform",
                               "--port", std::to_string(port)},
      Log("platform"));
  platform_->ReadPort();
}

void Example::StartBackends() {
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
        Log(name)));
    host["port"] = backends_.back()->ReadPort();
  }
  CallHttp(platform_port_, "PUT", "/control/hosts", hosts.dump());
  std::ofstream(logs_ / "hosts.json") << hosts.dump(2) << "\n";
  std::printf("%zu backend servers and the platform's stand-in are up\n",
              backends_.size());
}

void Example::StartDaemons() {
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
        std::vector<std::string>{BinaryPath("apps/gentianroute"), "--settings",
                                 file.string()},
        Log(entry.name));
    entries_.push_back(std::move(entry));
  }
  for (const Entry& entry : entries_) {
    const bool up = Eventually(kStartSeconds, [&entry] {
      return CallHttp(entry.operators, "GET", "/healthz", "").status == 200;
    });
    if (!up) {
      throw std::runtime_error(entry.name + " did not come up; see " +
                               logs_.string());
    }
  }
  std::printf("%zu daemons are up\n", entries_.size());
}

void Example::Apply() {
  Process apply({BinaryPath("apps/gentianctl"), "--port",
                 std::to_string(entries_.front().operators), "apply", "--wait",
                 std::to_string(kStartSeconds), "--author", "demo",
                 (folder_ / "profiles.json").string()},
                Log("apply"));
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
      return CallHttp(entry.operators, "GET", "/readyz", "").status == 200;
    });
  }
}

}  // namespace gentianroute::testing
