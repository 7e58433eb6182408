#include <signal.h>

#include <nlohmann/json.hpp>
#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;
using nlohmann::json;

namespace {

/// Number of requests in the longest window of a service.
std::uint64_t CountInLongestWindow(std::uint16_t operators,
                                   const std::string& name) {
  const ClientResponse response = CallHttp(operators, "GET", "/v1/report", "");
  const json report = json::parse(response.body, nullptr, false);
  if (!report.is_object()) {
    return 0;
  }
  for (const json& service : report.at("services")) {
    if (service.at("service") == name) {
      return service.at("windows").back().at("total");
    }
  }
  return 0;
}

}  // namespace

TestSuite(history);

// A host is stopped in a planned way and replaced by another one of its name.
// The three-day window must still include the requests of the first one: hosts
// have no disks, so that a host writes its counts to the platform's store.
Test(history, host_replaced_under_its_name_goes_on_counting) {
  PipelineFixture fixture(1, 1, 0);
  cr_assert_eq(fixture.Post(0, "chat", "question").get().status, 200);
  cr_assert_eq(
      CountInLongestWindow(fixture.deployment.operator_port(0), "chat"), 1U);
  fixture.deployment.daemon(0).Signal(SIGTERM);
  cr_assert_eq(fixture.deployment.daemon(0).Wait(30), 0);
  fixture.deployment.SetDaemonSettings(R"({"name": "entry-0"})");
  const std::size_t replacement = fixture.deployment.AddDaemon();
  cr_assert(Eventually(15, [&] {
    return CountInLongestWindow(fixture.deployment.operator_port(replacement),
                                "chat") == 1;
  }));
}
