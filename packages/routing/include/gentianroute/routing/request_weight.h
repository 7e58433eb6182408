#ifndef GENTIANROUTE_ROUTING_REQUEST_WEIGHT_H_
#define GENTIANROUTE_ROUTING_REQUEST_WEIGHT_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Value of a generation relative to the mean of its route.
///
/// Value grows with the prompt size. Otherwise requests with long prompts would
/// always be displaced first under overload, since they need the most server
/// time; their callers have put more work into them.
class RequestWeights {
 public:
  /// @param tokens_in size of the prompt
  /// @return 1 for a prompt of the mean size of the route so far
  double Of(std::string_view route, double tokens_in) {
    /// Share of the value that does not depend on the size.
    constexpr double kFixedShare = 0.3;
    constexpr double kMaxWeight = 4.0;
    double& mean = MeanOf(route, tokens_in);
    const double size = mean > 0 ? tokens_in / mean : 1.0;
    return std::min(kMaxWeight, kFixedShare + (1.0 - kFixedShare) * size);
  }

 private:
  /// The moving average, including this prompt.
  double& MeanOf(std::string_view route, double tokens_in) {
    constexpr double kNewestWeight = 0.02;
    const auto found = means_.find(route);
    if (found == means_.end()) {
      return means_.emplace(std::string(route), tokens_in).first->second;
    }
    found->second += kNewestWeight * (tokens_in - found->second);
    return found->second;
  }

  std::map<std::string, double, std::less<>> means_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_REQUEST_WEIGHT_H_
