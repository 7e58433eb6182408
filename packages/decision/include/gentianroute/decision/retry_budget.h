#ifndef GENTIANROUTE_DECISION_RETRY_BUDGET_H_
#define GENTIANROUTE_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace gentianroute {

/// @brief Token bucket that limits retries and hedges to a share of successes.
///
/// Without it every request calls a failing stage `max_attempts` times, and the
/// retries keep the stage overloaded after its fault is gone. With it the extra
/// calls are at most `ratio` times the successful calls, plus `burst`.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;
    double burst = 10.0;
  };

  RetryBudget() : RetryBudget(Options{}) {}
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.burst) {}

  /// @brief Changes the largest number of tokens. It never adds any.
  void SetBurst(double burst) {
    options_.burst = burst;
    tokens_ = std::min(tokens_, burst);
  }

  void OnSuccess() {
    tokens_ = std::min(options_.burst, tokens_ + options_.ratio);
  }

  /// @brief Spends the budget for one extra call.
  /// @return false, with nothing spent, if the budget is exhausted
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
