#ifndef GENTIANROUTE_DECISION_RETRY_BUDGET_H_
#define GENTIANROUTE_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace gentianroute {

/// @brief A share of recent successes that retries and hedges may spend.
///
/// Without it a stage that fails is called `max_attempts` times by everyone at
/// once, and stays down under the retries after its fault is gone. With it the
/// extra calls are at most `ratio` of the calls that succeed, plus `burst`.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;
    double burst = 10.0;
  };

  RetryBudget() : RetryBudget(Options{}) {}
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.burst) {}

  void OnSuccess() {
    tokens_ = std::min(options_.burst, tokens_ + options_.ratio);
  }

  /// @brief Takes one extra call out of the budget.
  /// @return false if there is none left; nothing is taken then
  bool TryTake() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  Options options_;
  double tokens_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_RETRY_BUDGET_H_
