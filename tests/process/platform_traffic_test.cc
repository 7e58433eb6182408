#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

constexpr unsigned kMeasureSeconds = 3;

struct Traffic {
  std::uint64_t requests = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t full_lists = 0;
};

Traffic ReadTraffic(const Deployment& deployment) {
  const ClientResponse response =
      CallHttp(deployment.platform_port(), "GET", "/control/traffic", "");
  const auto body = nlohmann::json::parse(response.body);
  return {body.at("requests"), body.at("bytes_in"), body.at("bytes_out"),
          body.at("whole_lists")};
}

/// Measures and prints the traffic while the daemon polls.
Traffic MeasureTraffic(const Deployment& deployment, const char* name) {
  const Traffic before = ReadTraffic(deployment);
  sleep(kMeasureSeconds);
  const Traffic after = ReadTraffic(deployment);
  const Traffic measured = {
      after.requests - before.requests, after.bytes_in - before.bytes_in,
      after.bytes_out - before.bytes_out, after.full_lists - before.full_lists};
  std::fprintf(
      stderr,
      "platform_traffic: %s: %llu requests/s, %llu bytes/s to the "
      "platform, %llu bytes/s from it\n",
      name,
      static_cast<unsigned long long>(measured.requests / kMeasureSeconds),
      static_cast<unsigned long long>(measured.bytes_in / kMeasureSeconds),
      static_cast<unsigned long long>(measured.bytes_out / kMeasureSeconds));
  return measured;
}

}  // namespace

TestSuite(platform_traffic);

Test(platform_traffic, unchanged_list_with_tag_is_never_sent_in_full) {
  // The number of engines and order servers of the larger user.
  PipelineFixture fixture(1, 10, 12);
  fixture.deployment.SetPlatformFaults(R"({"no_entity_tag": true})");
  const Traffic untagged =
      MeasureTraffic(fixture.deployment, "without an ETag");
  cr_assert_gt(untagged.full_lists, 0);
  fixture.deployment.SetPlatformFaults(R"({"no_entity_tag": false})");
  // The first list with a tag is sent in full.
  const std::uint64_t lists = ReadTraffic(fixture.deployment).full_lists;
  cr_assert(Eventually(
      10, [&] { return ReadTraffic(fixture.deployment).full_lists > lists; }));
  usleep(500'000);
  const Traffic tagged = MeasureTraffic(fixture.deployment, "with an ETag");
  cr_assert_gt(tagged.requests, 0);
  cr_assert_eq(tagged.full_lists, 0);
  // A changed list still reaches the daemon.
  const std::size_t added = fixture.deployment.AddBackend("encoders");
  cr_assert(Eventually(10, [&] {
    return CallHttp(fixture.deployment.operator_port(0), "GET", "/status", "")
               .body.find("encoders-" + std::to_string(added)) !=
           std::string::npos;
  }));
}
