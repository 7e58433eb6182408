// The shipped program on the users' platform: a process, with a store and a
// server that the test plays.

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
using gentianroute::testing::FreePort;
using gentianroute::testing::Http;
using gentianroute::testing::Process;
using nlohmann::json;

namespace {

constexpr int kSeconds = 10;

/// The program with a store that knows one route and one server.
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
  std::uint16_t callers = FreePort();
  std::uint16_t readiness = FreePort();
  std::uint16_t peers = FreePort();
  std::uint16_t metrics = FreePort();
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
         << "listen.frontend=" << at(callers) << "\n"
         << "listen.readiness=" << at(readiness) << "\n"
         << "portRange=" << peers << "," << peers << "\n"
         << "platform.address=" << store.server().address() << "\n"
         << "bounds.graceS=4\n";
    file.close();
    setenv("GENTIANROUTE_SETTINGS", path.c_str(), 1);
    program = std::make_unique<Process>(
        std::vector<std::string>{testing::Binary("apps/gentianroute"),
                                 "--platform", "--metrics-port",
                                 std::to_string(metrics)},
        folder + "/errors");
  }

  /// Asks the program while the store and the server of this process go on.
  testing::Answer Ask(std::uint16_t port,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body = "") {
    testing::Answer answer;
    std::thread asking([&] {
      answer = Http(port, method, path, body, {"gentianroute-request-id: r1"},
                    kSeconds);
      done = true;
    });
    while (!done) {
      Pass();
    }
    done = false;
    asking.join();
    return answer;
  }
  void Pass() {
    loop.After(std::chrono::milliseconds(5), [this] { loop.Stop(); });
    loop.Run();
  }
  bool BecomesReady() {
    constexpr int kTries = 200;
    for (int i = 0; i < kTries; ++i) {
      if (Ask(readiness, "GET", "/gentianroute/readyz").status == 200) {
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
  const auto answer = fixture.Ask(fixture.callers, "POST", "/x/1", "hi");
  cr_assert_eq(answer.status, 200);
  cr_assert(answer.body == "got hi");
  const auto counters = fixture.Ask(fixture.metrics, "GET", "/metrics");
  cr_assert(
      counters.body.find(
          "gentianroute_gateway_requests_total{outcome=\"answered\"} 1") !=
      std::string::npos);
}

Test(platform_mode, stop_signal_ends_it_with_success) {
  ProgramFixture fixture;
  cr_assert(fixture.BecomesReady());
  fixture.program->Signal(SIGTERM);
  cr_assert_eq(fixture.program->Wait(kSeconds), 0);
}
