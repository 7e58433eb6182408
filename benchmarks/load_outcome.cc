#include "load_outcome.h"

#include <algorithm>
#include <cstddef>

namespace gentianroute::bench {
double Outcome::CallsPerRequest() const {
  return Ratio(calls, all.sent);
}

double Outcome::CostPerAnswer() const {
  return Ratio(static_cast<std::uint64_t>(all.cost), all.in_time);
}

double Outcome::Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

}  // namespace gentianroute::bench
