#ifndef GENTIANROUTE_DECISION_CATALOGUE_H_
#define GENTIANROUTE_DECISION_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/decision/profile.h"

namespace gentianroute {

using ProfileRef = std::shared_ptr<const Profile>;

/// @brief All profiles, services and pools at one configuration revision. A
/// request keeps the profile that was current when it arrived.
struct Catalogue {
  std::uint64_t revision = 0;
  std::map<std::string, ProfileRef, std::less<>> profiles;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, PoolSpec, std::less<>> pools;

  /// @brief Returns the profile of a service.
  /// @return null if the service or its profile is not declared
  /// @complexity logarithmic in services and profiles
  ProfileRef ForService(std::string_view service) const;
};

using CatalogueRef = std::shared_ptr<const Catalogue>;

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CATALOGUE_H_
