// Runs the daemon in platform mode as a process, against a store and a backend
// server that the test simulates.

#include <signal.h>
#include <stdlib.h>

#include <criterion/criterion.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "gentianroute/loop/relay_client.h"
#include "platform/tests/fake_servers.h"
#include "process.h"
#include "test_folder.h"

using namespace gentianroute;
using gentianroute::platform::FakeStore;
using gentianroute::platform::RawServer;
using gentianroute::testing::CallHttp;
using gentianroute::testing::FreePort;
using gentianroute::testing::Process;
using nlohmann::json;

namespace {

constexpr int kTimeoutSeconds = 10;

/// The daemon process, with a store that has one route and one server.
struct ProgramFixture {
  EventLoop loop;
  FakeStore store{loop};
  RawServer server{loop, [](RawServer::Connection& peer,
                            const MessageHead&,
                            const std::string& body) {
                     peer.SendAnswer(200,
                                     "Gentianroute-Response-Signature: s\r\n",
                                     "got " + body);
                   }};
  std::uint16_t caller_port = FreePort();
  std::uint16_t readiness_port = FreePort();
  std::uint16_t peer_port = FreePort();
  std::uint16_t metrics_port = FreePort();
  std::string folder = testing::MakeTestFolder();
  std::unique_ptr<Process> program;

  ProgramFixture() {
    store.Put("op", "config",
              R"({"version":1,"routes":[{"name":"r","hostname":"test",)"
              R"("prefix":"/x/","type":"idempotent","timeoutMs":2000,)"
              R"("targetLatencyMs":300,"service":"s","maxAttempts":1}],)"
              R"("services":[{"name":"s"}]})");
    store.Put("servers", "i-1",
              json{{"service", "s"},
                   {"address", server.address()},
                   {"zone", "north"},
                   {"slots", 1},
                   {"state", "ready"}}
                  .dump());
    const std::string path = folder + "/local.conf";
    std::ofstream file(path);
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    file << "nodeName=edge-1\nzone=north\nip=127.0.0.1\n"
         << "listen.frontend=" << at(caller_port) << "\n"
         << "listen.readiness=" << at(readiness_port) << "\n"
         << "portRange=" << peer_port << "," << peer_port << "\n"
         << "platform.address=" << store.server().address() << "\n"
         << "bounds.graceS=4\n";
    file.close();
    setenv("GENTIANROUTE_SETTINGS", path.c_str(), 1);
    program = std::make_unique<Process>(
        std::vector<std::string>{testing::BinaryPath("apps/gentianroute"),
                                 "--platform", "--metrics-port",
                                 std::to_string(metrics_port)},
        folder + "/errors");
  }

  /// Sends a request to the daemon while the event loop serves the simulated
  /// store and server.
  testing::ClientResponse SendRequest(std::uint16_t port,
                                      const std::string& method,
                                      const std::string& path,
                                      const std::string& body = "") {
    testing::ClientResponse response;
    std::thread request_thread([&] {
      response = CallHttp(port, method, path, body,
                          {"gentianroute-request-id: r1"}, kTimeoutSeconds);
      done = true;
    });
    while (!done) {
      RunLoop();
    }
    done = false;
    request_thread.join();
    return response;
  }
  void RunLoop() {
    loop.After(std::chrono::milliseconds(5), [this] { loop.Stop(); });
    loop.Run();
  }
  bool BecomesReady() {
    constexpr int kMaxAttempts = 200;
    for (int i = 0; i < kMaxAttempts; ++i) {
      if (SendRequest(readiness_port, "GET", "/gentianroute/readyz").status ==
          200) {
        return true;
      }
    }
    return false;
  }

  std::atomic<bool> done = false;
};

}  // namespace

Test(platform_mode, program_serves_a_request_and_counts_it) {
  ProgramFixture fixture;
  cr_assert(fixture.BecomesReady());
  const auto response =
      fixture.SendRequest(fixture.caller_port, "POST", "/x/1", "hi");
  cr_assert_eq(response.status, 200);
  cr_assert(response.body == "got hi");
  const auto counters =
      fixture.SendRequest(fixture.metrics_port, "GET", "/metrics");
  cr_assert(
      counters.body.find(
          "gentianroute_gateway_requests_total{outcome=\"answered\"} 1") !=
      std::string::npos);
}

Test(platform_mode, stop_signal_ends_it_with_success) {
  ProgramFixture fixture;
  cr_assert(fixture.BecomesReady());
  fixture.program->Signal(SIGTERM);
  cr_assert_eq(fixture.program->Wait(kTimeoutSeconds), 0);
}
