#ifndef GENTIANROUTE_ROUTING_TOPOLOGY_H_
#define GENTIANROUTE_ROUTING_TOPOLOGY_H_

#include <map>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Regions of the data centres and the round-trip times between them.
class Topology {
 public:
  /// Round-trip times of the links as specified for the target deployments.
  static constexpr Duration kInDataCentre = std::chrono::microseconds(400);
  static constexpr Duration kInRegion = std::chrono::milliseconds(1);
  static constexpr Duration kBetweenRegions = std::chrono::milliseconds(40);

  Topology() = default;
  Topology(std::string own,
           std::map<std::string, std::string, std::less<>> region_of)
      : own_(std::move(own)), region_of_(std::move(region_of)) {}

  const std::string& own() const { return own_; }

  Duration RoundTrip(std::string_view data_centre) const {
    return RoundTrip(own_, data_centre);
  }
  Duration RoundTrip(std::string_view from, std::string_view to) const {
    if (from == to) {
      return kInDataCentre;
    }
    return RegionOf(from) == RegionOf(to) ? kInRegion : kBetweenRegions;
  }
  /// @return the data centre itself if its region is unknown
  std::string_view RegionOf(std::string_view data_centre) const {
    const auto found = region_of_.find(data_centre);
    return found == region_of_.end() ? data_centre : found->second;
  }

 private:
  std::string own_;
  std::map<std::string, std::string, std::less<>> region_of_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_TOPOLOGY_H_
