#include <unistd.h>

#include <string>

#include "harness.h"

#include <criterion/criterion.h>

using gentianroute::testing::CallHttp;
using gentianroute::testing::Deployment;
using gentianroute::testing::Eventually;

namespace {

constexpr const char* kDeclarations = R"({"pools": [{"name": "encoders"}]})";

void SetSilent(const Deployment& deployment, bool silent) {
  CallHttp(deployment.platform_port(), "PUT", "/control/faults",
           silent ? R"({"silent": true})" : R"({"silent": false})");
}

int ReadinessStatus(const Deployment& deployment, std::size_t daemon) {
  return CallHttp(deployment.operator_port(daemon), "GET", "/readyz", "")
      .status;
}

bool WaitUntilReady(const Deployment& deployment, std::size_t daemon) {
  return Eventually(10,
                    [&] { return ReadinessStatus(deployment, daemon) == 200; });
}

}  // namespace

// A host that starts while the platform does not respond and no peer has the
// configuration must not be ready, or the load balancer would send it requests
// for services that it does not know. A host that starts when a peer has the
// configuration gets it from that peer during the outage.
Test(store_outage, new_host_is_ready_only_with_configuration_from_peer) {
  Deployment deployment;
  deployment.AddBackend("encoders");
  SetSilent(deployment, true);
  deployment.AddDaemon();
  usleep(2'000'000);
  cr_assert_eq(ReadinessStatus(deployment, 0), 503);
  SetSilent(deployment, false);
  cr_assert(WaitUntilReady(deployment, 0));
  deployment.Apply(kDeclarations);
  SetSilent(deployment, true);
  deployment.AddDaemon();
  cr_assert(WaitUntilReady(deployment, 1));
  const auto documents =
      CallHttp(deployment.operator_port(1), "GET", "/v1/documents", "");
  cr_assert(documents.body.find("encoders") != std::string::npos);
}
