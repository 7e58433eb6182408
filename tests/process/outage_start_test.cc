#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using gentianroute::testing::CallHttp;
using gentianroute::testing::Eventually;
using gentianroute::testing::PipelineFixture;

// A host is added while the platform does not respond. It gets the
// configuration from a peer and becomes ready, so that the load balancer sends
// it requests; it must serve them, since the backend servers are available.
Test(outage_start, new_host_with_configured_peer_serves_callers) {
  PipelineFixture fixture(1, 1, 1);
  auto& deployment = fixture.deployment;
  deployment.SetPlatformFaults(R"({"silent": true})");
  const std::size_t added = deployment.AddDaemon();
  const bool ready = Eventually(20, [&] {
    return CallHttp(deployment.operator_port(added), "GET", "/readyz", "")
               .status == 200;
  });
  cr_assert(ready);
  const auto response = fixture.Post(added, "chat", "x").get();
  cr_expect_eq(response.status, 200, "%s", response.body.c_str());
}
