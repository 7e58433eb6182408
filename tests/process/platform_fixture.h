#ifndef GENTIANROUTE_TESTS_PROCESS_PLATFORM_FIXTURE_H_
#define GENTIANROUTE_TESTS_PROCESS_PLATFORM_FIXTURE_H_

#include <stdlib.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "platform/tests/fake_servers.h"
#include "process.h"
#include "test_folder.h"

namespace gentianroute::testing {

inline constexpr int kTimeoutSeconds = 10;

/// @brief One daemon process in platform mode.
struct PlatformProgram {
  std::string name;
  std::uint16_t caller_port = FreePort();
  std::uint16_t readiness_port = FreePort();
  std::uint16_t peer_port = FreePort();
  std::uint16_t metrics_port = FreePort();
  std::unique_ptr<Process> process;
};

/// @brief A store that has one route and one server, for daemon processes.
struct PlatformFixture {
  EventLoop loop;
  platform::FakeStore store{loop};
  platform::RawServer server{
      loop, [](platform::RawServer::Connection& peer,
               const MessageHead&,
               const std::string& body) {
        peer.SendAnswer(200, "Gentianroute-Response-Signature: s\r\n",
                        "got " + body);
      }};
  std::string folder = MakeTestFolder();

  PlatformFixture() {
    PutDeployment(1, "/x/");
    store.Put("servers", "i-1",
              nlohmann::json{{"service", "s"},
                             {"address", server.address()},
                             {"zone", "north"},
                             {"slots", 1},
                             {"state", "ready"}}
                  .dump());
  }

  /// Replaces the deployment by one with a single route.
  void PutDeployment(int version, const std::string& prefix) {
    const nlohmann::json route = {{"name", "r"},
                                  {"hostname", "test"},
                                  {"prefix", prefix},
                                  {"type", "idempotent"},
                                  {"timeoutMs", 2000},
                                  {"service", "s"},
                                  {"targetLatencyMs", 300},
                                  {"maxAttempts", 1}};
    store.Put(
        "op", "config",
        nlohmann::json{{"version", version},
                       {"routes", nlohmann::json::array({route})},
                       {"services", nlohmann::json::array({{{"name", "s"}}})}}
            .dump());
  }

  void Start(PlatformProgram& program) {
    const std::string path = folder + "/" + program.name + ".conf";
    std::ofstream file(path);
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    file << "nodeName=" << program.name << "\nzone=north\nip=127.0.0.1\n"
         << "listen.frontend=" << at(program.caller_port) << "\n"
         << "listen.readiness=" << at(program.readiness_port) << "\n"
         << "portRange=" << program.peer_port << "," << program.peer_port
         << "\n"
         << "platform.address=" << store.server().address() << "\n"
         << "bounds.graceS=4\n";
    file.close();
    setenv("GENTIANROUTE_SETTINGS", path.c_str(), 1);
    program.process = std::make_unique<Process>(
        std::vector<std::string>{BinaryPath("apps/gentianroute"), "--platform",
                                 "--metrics-port",
                                 std::to_string(program.metrics_port)},
        folder + "/" + program.name + ".errors");
  }

  /// Sends a request to a daemon while the event loop serves the simulated
  /// store and server.
  ClientResponse SendRequest(std::uint16_t port,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body = "") {
    ClientResponse response;
    std::atomic<bool> done = false;
    std::thread request_thread([&] {
      response = CallHttp(port, method, path, body,
                          {"gentianroute-request-id: r1"}, kTimeoutSeconds);
      done = true;
    });
    while (!done) {
      RunLoop();
    }
    request_thread.join();
    return response;
  }
  void RunLoop() {
    loop.After(std::chrono::milliseconds(5), [this] { loop.Stop(); });
    loop.Run();
  }
  bool BecomesReady(const PlatformProgram& program) {
    constexpr int kMaxAttempts = 200;
    for (int i = 0; i < kMaxAttempts; ++i) {
      if (SendRequest(program.readiness_port, "GET", "/gentianroute/readyz")
              .status == 200) {
        return true;
      }
    }
    return false;
  }
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_PLATFORM_FIXTURE_H_
