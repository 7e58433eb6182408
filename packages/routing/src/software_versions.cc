#include "gentianroute/routing/software_versions.h"

#include <algorithm>

namespace gentianroute::routing {

std::optional<StreamOrigin> OnlyListedVersion(
    std::string_view service,
    std::span<const ServerPtr> servers) {
  if (servers.empty()) {
    return std::nullopt;
  }
  const std::string& version = servers.front()->record().software_version;
  const bool is_only =
      std::ranges::all_of(servers, [&version](const ServerPtr& server) {
        return server->record().software_version == version;
      });
  return is_only ? std::optional(StreamOrigin{std::string(service), version})
                 : std::nullopt;
}

void SoftwareVersions::OnListed(TimePoint now, FleetState fleet) {
  if (listed_since_) {
    return;
  }
  // No stream can have begun before a new fleet was listed.
  listed_since_ = fleet == FleetState::kNew ? TimePoint::min() : now;
}

void SoftwareVersions::OnMissed(TimePoint now) {
  if (listed_since_) {
    listed_since_ = now;
  }
}

void SoftwareVersions::OnGone(TimePoint now, const ServerRecord& server) {
  auto& versions = gone_at_[server.service];
  std::erase_if(versions, [this, now](const auto& version) {
    return version.second + memory_ <= now;
  });
  versions[server.software_version] = now;
}

OriginReport SoftwareVersions::Report(
    TimePoint now,
    std::string_view service,
    std::span<const ServerPtr> servers) const {
  if (servers.empty()) {
    return {};
  }
  const std::optional<StreamOrigin> listed =
      OnlyListedVersion(service, servers);
  bool is_only = listed.has_value();
  if (const auto gone = gone_at_.find(service);
      is_only && gone != gone_at_.end()) {
    is_only = std::ranges::all_of(gone->second, [&](const auto& other) {
      return other.first == listed->software_version ||
             other.second + memory_ <= now;
    });
  }
  if (!is_only) {
    return {OriginEvidence::kSeveralVersions, {}, {}};
  }
  // A version may have gone before the list was known.
  const bool covers_streams = listed_since_ && *listed_since_ + memory_ <= now;
  if (!covers_streams) {
    return {};
  }
  return {OriginEvidence::kOneVersion, *listed, {}};
}

}  // namespace gentianroute::routing
