#ifndef GENTIANROUTE_ROUTING_PERMITTED_REGIONS_H_
#define GENTIANROUTE_ROUTING_PERMITTED_REGIONS_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianroute::routing {

/// @brief Regions in which the work and the data of a request may be placed.
/// All regions unless they are limited.
class PermittedRegions {
 public:
  PermittedRegions() = default;
  /// @param regions names of the only permitted regions; empty: all regions
  explicit PermittedRegions(std::vector<std::string> regions) {
    if (!regions.empty()) {
      std::sort(regions.begin(), regions.end());
      regions_ = std::move(regions);
    }
  }

  /// @brief Returns the regions that both permit, which may be none.
  PermittedRegions IntersectedWith(const PermittedRegions& other) const {
    if (!regions_) {
      return other;
    }
    if (!other.regions_) {
      return *this;
    }
    PermittedRegions both;
    both.regions_.emplace();
    std::set_intersection(regions_->begin(), regions_->end(),
                          other.regions_->begin(), other.regions_->end(),
                          std::back_inserter(*both.regions_));
    return both;
  }

  bool Permits(std::string_view region) const {
    return !regions_ || std::find(regions_->begin(), regions_->end(), region) !=
                            regions_->end();
  }
  bool PermitsAll() const { return !regions_; }
  bool PermitsNone() const { return regions_ && regions_->empty(); }

  friend bool operator==(const PermittedRegions&,
                         const PermittedRegions&) = default;

 private:
  std::optional<std::vector<std::string>> regions_;  ///< sorted
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PERMITTED_REGIONS_H_
