#ifndef GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianroute::bench {

/// @return `part / whole`, or 0 if `whole` is 0
inline double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief Counts of requests by result, for one group of requests.
struct RequestCounts {
  std::uint64_t sent = 0;
  std::uint64_t in_time = 0;  ///< answered within the deadline
  std::uint64_t refused = 0;  ///< rejected before any stage ran
  std::int64_t cost = 0;      ///< micro-euros; only in Outcome::all

  double Attainment() const { return sent == 0 ? 1 : Ratio(in_time, sent); }
};

/// @brief Results of one run, without the warm-up.
struct Outcome {
  RequestCounts all;
  std::map<std::string, RequestCounts> organisations;
  std::map<std::string, RequestCounts> subscribers;
  std::map<std::string, std::int64_t> stage_cost;  ///< micro-euros
  std::vector<RequestCounts> seconds;  ///< indexed by second of arrival
  std::vector<double> latency_ms;      ///< of answered requests
  std::uint64_t calls = 0;
  std::uint64_t billed_bytes = 0;     ///< sent between regions
  std::uint64_t prefix_requests = 0;  ///< prefix cache lookups
  std::uint64_t prefix_hits = 0;
  std::vector<double> first_token_ms;  ///< of answered requests
  /// Mean over the samples of the sum over pools of max - min server load.
  double load_spread = 0;

  double CallsPerRequest() const;
  /// @return micro-euros per request answered in time
  double CostPerAnswer() const;
  /// @param share quantile, from 0 to 1
  /// @return the value at that quantile, or 0 if there are no values
  static double Percentile(std::vector<double> values, double share);
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_
