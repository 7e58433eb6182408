#include "harness.h"

#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "test_folder.h"

namespace gentianroute::testing {
namespace {

using nlohmann::json;

// SHA-256 of "test-key".
constexpr const char* kTestKeyDigest =
    "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

}  // namespace

Deployment::Deployment() : folder_(MakeTestFolder()) {
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("standins/standin"), "platform"},
      FilePath("platform.err"));
  platform_port_ = platform_->ReadPort();
}

std::string Deployment::FilePath(const std::string& name) const {
  return folder_ + "/" + name;
}

std::size_t Deployment::AddBackend(const std::string& pool,
                                   const std::vector<std::string>& options,
                                   const std::string& data_centre,
                                   const std::string& region) {
  BackendServer server;
  server.name = pool + "-" + std::to_string(backends_.size());
  server.pool = pool;
  server.data_centre = data_centre;
  server.region = region;
  std::vector<std::string> command = {BinaryPath("standins/standin"), "backend",
                                      "--name", server.name};
  command.insert(command.end(), options.begin(), options.end());
  server.process =
      std::make_unique<Process>(command, FilePath(server.name + ".err"));
  server.port = server.process->ReadPort();
  server.command = std::move(command);
  server.command.insert(server.command.end(),
                        {"--port", std::to_string(server.port)});
  backends_.push_back(std::move(server));
  PublishHosts();
  return backends_.size() - 1;
}

void Deployment::RestartBackend(std::size_t index) {
  BackendServer& server = backends_[index];
  server.process =
      std::make_unique<Process>(server.command, FilePath(server.name + ".err"));
  server.process->ReadPort();
  ++server.incarnation;
  PublishHosts();
}

void Deployment::SetFaults(std::size_t backend,
                           const std::string& faults) const {
  CallHttp(backend_port(backend), "PUT", "/control/faults", faults);
}

void Deployment::SetPlatformFaults(const std::string& faults) const {
  CallHttp(platform_port_, "PUT", "/control/faults", faults);
}

std::uint64_t Deployment::RunCount(std::size_t backend,
                                   const std::string& marker) const {
  const ClientResponse response =
      CallHttp(backend_port(backend), "GET", "/control/counts", "");
  return json::parse(response.body).at("by_marker").value(marker, 0U);
}

std::string Deployment::ReadLog(std::size_t daemon) const {
  std::ifstream file(FilePath(daemons_[daemon].name + ".err"));
  return {std::istreambuf_iterator<char>(file), {}};
}

void Deployment::PublishHosts() {
  json hosts = json::array();
  for (const BackendServer& server : backends_) {
    hosts.push_back({{"name", server.name},
                     {"address", "127.0.0.1"},
                     {"port", server.port},
                     {"pool", server.pool},
                     {"data_centre", server.data_centre},
                     {"region", server.region},
                     {"incarnation", server.incarnation},
                     {"slots", 8}});
  }
  for (const Daemon& daemon : daemons_) {
    hosts.push_back({{"name", daemon.name},
                     {"address", "127.0.0.1"},
                     {"port", daemon.peer_port},
                     {"pool", "gentianroute"},
                     {"data_centre", daemon.data_centre},
                     {"region", daemon.region},
                     {"incarnation", 1}});
  }
  CallHttp(platform_port_, "PUT", "/control/hosts", hosts.dump());
}

std::size_t Deployment::AddDaemon(const std::string& data_centre,
                                  const std::string& region) {
  // Another program may take a port after it was chosen and before the daemon
  // listens on it. The daemon is then started again with other ports.
  constexpr int kMaxAttempts = 3;
  Daemon daemon;
  daemon.name = "entry-" + std::to_string(daemons_.size());
  daemon.data_centre = data_centre;
  daemon.region = region;
  bool started = false;
  for (int i = 0; i < kMaxAttempts && !started; ++i) {
    started = StartDaemon(daemon);
  }
  if (!started) {
    throw std::runtime_error("the daemon did not start");
  }
  daemons_.push_back(std::move(daemon));
  PublishHosts();
  return daemons_.size() - 1;
}

bool Deployment::StartDaemon(Daemon& daemon) const {
  daemon.caller_port = allocate_port_();
  daemon.operator_port = allocate_port_();
  daemon.peer_port = allocate_port_();
  json seeds = json::array();
  for (const Daemon& other : daemons_) {
    seeds.push_back({{"name", other.name},
                     {"dataCentre", other.data_centre},
                     {"port", other.peer_port}});
  }
  json settings = {
      {"name", daemon.name},
      {"seeds", std::move(seeds)},
      {"dataCentre", daemon.data_centre},
      {"region", daemon.region},
      {"callers", {{"port", daemon.caller_port}}},
      {"operators", {{"port", daemon.operator_port}}},
      {"peers", {{"port", daemon.peer_port}}},
      {"platform",
       {{"port", platform_port_}, {"pollMs", 100}, {"timeoutMs", 500}}},
      {"organisations",
       {{{"name", "test"},
         {"keys", {{{"subscriber", "tester"}, {"sha256", kTestKeyDigest}}}}}}},
  };
  settings.merge_patch(json::parse(daemon_settings_));
  const std::string file = FilePath(daemon.name + ".json");
  std::ofstream(file) << settings.dump(2);
  daemon.process = std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("apps/gentianroute"), "--settings",
                               file},
      FilePath(daemon.name + ".err"));
  bool is_up = false;
  Eventually(10, [&daemon, &is_up] {
    is_up = CallHttp(daemon.operator_port, "GET", "/healthz", "").status == 200;
    return is_up || daemon.process->Wait(0) >= 0;
  });
  return is_up;
}

int Deployment::TryApply(const std::string& declarations) {
  const std::string file = FilePath("declarations.json");
  std::ofstream(file) << declarations;
  Process apply({BinaryPath("apps/gentianctl"), "--port",
                 std::to_string(operator_port(0)), "apply", file},
                FilePath("apply.err"));
  return apply.Wait(10);
}

void Deployment::Apply(const std::string& declarations) {
  if (TryApply(declarations) != 0) {
    throw std::runtime_error("apply failed; see " + FilePath("apply.err"));
  }
  for (const Daemon& daemon : daemons_) {
    const bool ready = Eventually(10, [&daemon] {
      const ClientResponse response =
          CallHttp(daemon.operator_port, "GET", "/status", "");
      const json status = json::parse(response.body, nullptr, false);
      return status.is_object() && status.value("revision", 0) > 0 &&
             !status.at("servers").empty();
    });
    if (!ready) {
      throw std::runtime_error(daemon.name +
                               " has no configuration or knows no server");
    }
  }
}

ClientResponse Deployment::Post(std::size_t daemon,
                                const std::string& service,
                                const std::string& body,
                                std::vector<std::string> headers) const {
  headers.emplace_back("authorization: Bearer test-key");
  return CallHttp(caller_port(daemon), "POST", "/v1/services/" + service, body,
                  headers);
}

}  // namespace gentianroute::testing
