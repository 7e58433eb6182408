#include "gentianroute/decision/catalogue.h"

namespace gentianroute {

ProfileRef Catalogue::ForService(std::string_view service) const {
  const auto found = services.find(service);
  if (found == services.end()) {
    return nullptr;
  }
  const auto profile = profiles.find(found->second.profile);
  return profile == profiles.end() ? nullptr : profile->second;
}

}  // namespace gentianroute
