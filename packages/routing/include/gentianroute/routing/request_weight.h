#ifndef GENTIANROUTE_ROUTING_REQUEST_WEIGHT_H_
#define GENTIANROUTE_ROUTING_REQUEST_WEIGHT_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief What a generation is worth against the mean of its route.
///
/// The callers of long prompts have put more into them, and lose more when they
/// are the ones that step back in a burst; without this they always are, since
/// they take the most of the servers' time.
class RequestWeights {
 public:
  /// @param tokens_in of the prompt
  /// @return 1 for the mean prompt of the route, as seen so far
  double Of(std::string_view route, double tokens_in) {
    /// Share of the worth that does not depend on the size.
    constexpr double kFixedShare = 0.3;
    constexpr double kMaxWeight = 4.0;
    double& mean = MeanOf(route, tokens_in);
    const double size = mean > 0 ? tokens_in / mean : 1.0;
    return std::min(kMaxWeight, kFixedShare + (1.0 - kFixedShare) * size);
  }

 private:
  /// The running mean, this prompt included.
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
