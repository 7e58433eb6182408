#include <signal.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "harness.h"

#include <criterion/criterion.h>

using gentianroute::testing::CallHttp;
using gentianroute::testing::Deployment;

namespace {

constexpr const char* kDeclarations = R"({
  "pools": [{"name": "llm", "kind": "engine", "engines": [
    {"model": "letters", "version": "2", "adapters": ["plaques"],
     "role": "decode", "count": 2}]}]
})";
constexpr const char* kWrongModelOrder = R"({"fencing": 1, "desired":
  {"model": "old", "version": "1", "adapters": [], "role": "decode"}})";

bool WaitForModel(const Deployment& deployment,
                  std::size_t engine,
                  const std::string& model) {
  constexpr int kMaxAttempts = 400;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto response =
        CallHttp(deployment.backend_port(engine), "GET", "/v1/state", "");
    if (response.body.find("\"" + model + "\"") != std::string::npos) {
      return true;
    }
    usleep(100'000);
  }
  return false;
}

}  // namespace

// One of two daemons is killed, and an engine then gets a wrong model. The
// other daemon must acquire the lease of the pool, detect the wrong model by
// reading the state of the engine, and correct it; it must then exit with 0
// when it is stopped.
Test(engine_orders, remaining_daemon_corrects_engine_after_other_was_killed) {
  Deployment deployment;
  deployment.AddBackend("llm", {"--checks-fencing"});
  deployment.AddBackend("llm");
  deployment.AddDaemon();
  deployment.AddDaemon();
  deployment.Apply(kDeclarations);
  cr_assert(WaitForModel(deployment, 0, "letters"));
  cr_assert(WaitForModel(deployment, 1, "letters"));
  deployment.daemon(0).Signal(SIGKILL);
  cr_assert_eq(CallHttp(deployment.backend_port(1), "POST", "/v1/orders",
                        kWrongModelOrder)
                   .status,
               200);
  cr_assert(WaitForModel(deployment, 1, "letters"));
  deployment.daemon(1).Signal(SIGTERM);
  cr_assert_eq(deployment.daemon(1).Wait(10), 0);
}
