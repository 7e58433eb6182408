#ifndef GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianroute::bench {

/// @return part per whole; zero of nothing is zero
inline double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief What became of the requests of one organisation or subscriber.
struct RequestCounts {
  std::uint64_t sent = 0;
  std::uint64_t in_time = 0;
  std::uint64_t refused = 0;  ///< before anything ran
  std::int64_t cost = 0;      ///< micro-euros, with billed bytes

  double Attainment() const { return sent == 0 ? 1 : Ratio(in_time, sent); }
};

/// @brief What one run measured, after the warm-up.
struct Outcome {
  RequestCounts all;
  std::map<std::string, RequestCounts> organisations;
  std::map<std::string, RequestCounts> subscribers;
  std::map<std::string, std::int64_t> stage_cost;  ///< micro-euros
  std::vector<RequestCounts> seconds;              ///< by second of arrival
  std::vector<double> latency_ms;                  ///< of the answered
  std::uint64_t calls = 0;
  std::uint64_t billed_bytes = 0;
  std::uint64_t prefix_requests = 0;
  std::uint64_t prefix_hits = 0;
  std::vector<double> first_token_ms;
  double load_spread = 0;  ///< mean of (most - least loaded) per pool

  double CallsPerRequest() const;
  double CostPerAnswer() const;
  /// @return milliseconds
  static double Percentile(std::vector<double> values, double share);
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_OUTCOME_H_
