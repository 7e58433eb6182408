#include "gentianroute/routing/software_versions.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

using FleetState = SoftwareVersions::FleetState;
constexpr Duration kAge = std::chrono::seconds(32);

ServerPtr ServerOf(const std::string& version) {
  ServerRecord record;
  record.id = "server of " + version;
  record.service = "model";
  record.software_version = version;
  return ServerPtr(new Server(record));
}

struct VersionsFixture {
  SoftwareVersions versions{kAge};
  std::vector<ServerPtr> servers{ServerOf("v1"), ServerOf("v1")};

  explicit VersionsFixture(FleetState fleet = FleetState::kNew) {
    versions.OnListed(kStart, fleet);
  }
  OriginReport ReportAt(TimePoint now) const {
    return versions.Report(now, "model", servers);
  }
};

StreamOrigin OriginOf(const std::string& version) {
  return {"model", version};
}

}  // namespace

TestSuite(software_versions);

Test(software_versions, all_servers_alike_it_is_the_only_version) {
  const VersionsFixture fixture;
  const OriginReport report = fixture.ReportAt(kStart);
  cr_assert(report.evidence == OriginEvidence::kOneVersion);
  cr_assert(report.origin == OriginOf("v1"));
}

Test(software_versions, second_version_is_listed_there_are_several) {
  VersionsFixture fixture;
  fixture.servers.push_back(ServerOf("v2"));
  cr_assert(fixture.ReportAt(kStart).evidence ==
            OriginEvidence::kSeveralVersions);
}

// Guards against a stream of a version that has just gone being continued at
// the only one that is left.
Test(software_versions, version_has_gone_lately_there_are_several) {
  VersionsFixture fixture;
  fixture.versions.OnGone(kStart, ServerOf("v0")->record());
  cr_assert(fixture.ReportAt(kStart + kAge - kMs).evidence ==
            OriginEvidence::kSeveralVersions);
  cr_assert(fixture.ReportAt(kStart + kAge).evidence ==
            OriginEvidence::kOneVersion);
}

Test(software_versions, server_of_the_same_version_has_gone_nothing_changes) {
  VersionsFixture fixture;
  fixture.versions.OnGone(kStart, ServerOf("v1")->record());
  cr_assert(fixture.ReportAt(kStart).evidence == OriginEvidence::kOneVersion);
}

// Guards against a version that came and went while the daemon was out of
// touch.
Test(software_versions, servers_may_have_been_missed_it_knows_nothing) {
  VersionsFixture fixture;
  fixture.versions.OnMissed(kStart + kMs);
  cr_assert(fixture.ReportAt(kStart + kAge).evidence == OriginEvidence::kNone);
  cr_assert(fixture.ReportAt(kStart + kMs + kAge).evidence ==
            OriginEvidence::kOneVersion);
}

// Guards against a daemon that has just started taking the versions that it
// sees for all that there were.
Test(software_versions, daemon_has_just_started_it_knows_nothing) {
  const VersionsFixture fixture(FleetState::kRunning);
  cr_assert(fixture.ReportAt(kStart).evidence == OriginEvidence::kNone);
  cr_assert(fixture.ReportAt(kStart + kAge).evidence ==
            OriginEvidence::kOneVersion);
}

Test(software_versions, daemon_has_just_started_several_versions_are_seen) {
  VersionsFixture fixture(FleetState::kRunning);
  fixture.servers.push_back(ServerOf("v2"));
  cr_assert(fixture.ReportAt(kStart).evidence ==
            OriginEvidence::kSeveralVersions);
}

Test(software_versions, service_has_no_servers_nothing_is_known) {
  VersionsFixture fixture;
  fixture.servers.clear();
  cr_assert(fixture.ReportAt(kStart).evidence == OriginEvidence::kNone);
}
