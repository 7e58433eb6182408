#ifndef GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_
#define GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/decision/retry_budget.h"

namespace gentianroute::gateway {

/// @brief This daemon's share of the retry budget of each service.
///
/// All daemons together may send as many retries as a given ratio of the
/// service's requests, plus a burst that they divide equally. The part of each
/// follows the number of daemons. A daemon that has just started knows none of
/// the others, so it begins with a single retry.
class RetryBudgets {
 public:
  /// Share of the budget that is used. The rest is a margin, which keeps the
  /// total within the limit while daemons disagree about the number of daemons.
  static constexpr double kUsedShare = 0.7;

  /// @param ratio retries per request
  /// @param slack retries in a burst, of all daemons
  RetryBudgets(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  /// @param daemons number of live daemons
  void OnRequest(std::string_view service, std::size_t daemons) {
    Of(service, daemons).OnSuccess();
  }
  /// @brief Spends the budget for one retry.
  /// @return false, with nothing spent, if the budget is exhausted
  bool TryTake(std::string_view service, std::size_t daemons) {
    return Of(service, daemons).TryTake();
  }

 private:
  RetryBudget& Of(std::string_view service, std::size_t daemons) {
    const double burst = slack_ * kUsedShare /
                         static_cast<double>(std::max<std::size_t>(1, daemons));
    auto found = budgets_.find(service);
    if (found == budgets_.end()) {
      found = budgets_
                  .emplace(std::string(service),
                           RetryBudget({ratio_ * kUsedShare, 1.0}))
                  .first;
    }
    found->second.SetBurst(std::max(1.0, burst));
    return found->second;
  }

  double ratio_;
  double slack_;
  std::map<std::string, RetryBudget, std::less<>> budgets_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_RETRY_BUDGETS_H_
