#ifndef GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_
#define GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/decision/retry_budget.h"

namespace gentianroute::gateway {

/// @brief This daemon's part of the retries that all daemons may send to a
/// service: a share of its requests, and a part of a common slack.
class RetryBudgets {
 public:
  /// Kept back, so that daemons which see different numbers of each other
  /// still keep the common bound.
  static constexpr double kUsedShare = 0.7;

  RetryBudgets(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  void OnRequest(std::string_view service, std::size_t daemons) {
    Of(service, daemons).OnSuccess();
  }
  bool TryTake(std::string_view service, std::size_t daemons) {
    return Of(service, daemons).TryTake();
  }

 private:
  RetryBudget& Of(std::string_view service, std::size_t daemons) {
    const auto found = budgets_.find(service);
    if (found != budgets_.end()) {
      return found->second;
    }
    const double burst = slack_ * kUsedShare /
                         static_cast<double>(std::max<std::size_t>(1, daemons));
    return budgets_
        .emplace(std::string(service),
                 RetryBudget({ratio_ * kUsedShare, std::max(1.0, burst)}))
        .first->second;
  }

  double ratio_;
  double slack_;
  std::map<std::string, RetryBudget, std::less<>> budgets_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_
