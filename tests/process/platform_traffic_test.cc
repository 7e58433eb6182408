#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "harness.h"
#include "pipelines.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

constexpr unsigned kSeconds = 3;

struct Traffic {
  std::uint64_t requests = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t whole_lists = 0;
};

Traffic ReadTraffic(const Deployment& deployment) {
  const Answer answer =
      Http(deployment.platform_port(), "GET", "/control/traffic", "");
  const auto body = nlohmann::json::parse(answer.body);
  return {body.at("requests"), body.at("bytes_in"), body.at("bytes_out"),
          body.at("whole_lists")};
}

/// Lets the daemon poll and prints what it moved.
Traffic Watch(const Deployment& deployment, const char* name) {
  const Traffic before = ReadTraffic(deployment);
  sleep(kSeconds);
  const Traffic after = ReadTraffic(deployment);
  const Traffic moved = {after.requests - before.requests,
                         after.bytes_in - before.bytes_in,
                         after.bytes_out - before.bytes_out,
                         after.whole_lists - before.whole_lists};
  std::fprintf(stderr,
               "platform_traffic: %s: %llu requests/s, %llu bytes/s to the "
               "platform, %llu bytes/s from it\n",
               name, static_cast<unsigned long long>(moved.requests / kSeconds),
               static_cast<unsigned long long>(moved.bytes_in / kSeconds),
               static_cast<unsigned long long>(moved.bytes_out / kSeconds));
  return moved;
}

}  // namespace

TestSuite(platform_traffic);

Test(platform_traffic, unchanged_list_with_tag_is_never_sent_whole) {
  // As many hosts as the larger of the users has engines and order servers.
  Pipelines run(1, 10, 12);
  run.deployment.SetPlatformFaults(R"({"no_entity_tag": true})");
  const Traffic untagged = Watch(run.deployment, "without an ETag");
  cr_assert_gt(untagged.whole_lists, 0);
  run.deployment.SetPlatformFaults(R"({"no_entity_tag": false})");
  // The first list with a tag comes whole.
  const std::uint64_t lists = ReadTraffic(run.deployment).whole_lists;
  cr_assert(Eventually(
      10, [&] { return ReadTraffic(run.deployment).whole_lists > lists; }));
  usleep(500'000);
  const Traffic tagged = Watch(run.deployment, "with an ETag");
  cr_assert_gt(tagged.requests, 0);
  cr_assert_eq(tagged.whole_lists, 0);
  // A change of the list still arrives.
  const std::size_t added = run.deployment.AddBackend("encoders");
  cr_assert(Eventually(10, [&] {
    return Http(run.deployment.operator_port(0), "GET", "/status", "")
               .body.find("encoders-" + std::to_string(added)) !=
           std::string::npos;
  }));
}
