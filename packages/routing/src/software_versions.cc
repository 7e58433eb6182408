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
  recorded_.clear();
}

void SoftwareVersions::OnGone(TimePoint now, const ServerRecord& server) {
  auto& versions = gone_at_[server.service];
  std::erase_if(versions, [this, now](const auto& version) {
    return version.second + memory_ <= now;
  });
  versions[server.software_version] = now;
}

void SoftwareVersions::OnRecordRead(TimePoint now,
                                    std::string_view service,
                                    std::span<const std::string> unlisted) {
  recorded_.emplace(service);
  // Nobody knows when they went.
  for (const std::string& version : unlisted) {
    gone_at_[std::string(service)][version] = now;
  }
}

bool SoftwareVersions::CoversStreams(TimePoint now,
                                     std::string_view service) const {
  return listed_since_ &&
         (*listed_since_ + memory_ <= now || recorded_.contains(service));
}

std::vector<std::string> SoftwareVersions::GoneLately(
    TimePoint now,
    std::string_view service) const {
  std::vector<std::string> lately;
  const auto gone = gone_at_.find(service);
  if (gone == gone_at_.end()) {
    return lately;
  }
  for (const auto& [version, when] : gone->second) {
    if (now < when + memory_) {
      lately.push_back(version);
    }
  }
  return lately;
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
  if (is_only) {
    const std::vector<std::string> gone = GoneLately(now, service);
    is_only = std::ranges::all_of(gone, [&](const std::string& other) {
      return other == listed->software_version;
    });
  }
  if (!is_only) {
    return {OriginEvidence::kSeveralVersions, {}, {}};
  }
  // A version may have gone before the list was known.
  if (!CoversStreams(now, service)) {
    return {};
  }
  return {OriginEvidence::kOneVersion, *listed, {}};
}

}  // namespace gentianroute::routing
