#ifndef GENTIANROUTE_LOADTOOL_LOAD_RESULT_H_
#define GENTIANROUTE_LOADTOOL_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::load {

/// @brief The outcome of one request.
struct RequestOutcome {
  std::string service;
  int status = 0;                   ///< 0: no complete response
  std::string error_kind;           ///< from the error body; empty if answered
  Duration latency{0};              ///< until the response's end
  Duration first_token_latency{0};  ///< zero: no stream
  std::vector<Duration> token_intervals;  ///< between the tokens of a stream
  bool attained = false;                  ///< complete within its deadline
  std::int64_t cost_micros = 0;           ///< micro-euros
  std::string server_timing;              ///< header as received
};

/// @brief Time and cost of one stage in a Server-Timing header.
struct StageTiming {
  std::string stage;
  double milliseconds = 0;
  std::int64_t cost_micros = 0;  ///< micro-euros
};

/// @brief Parses the Server-Timing header of a daemon's response.
/// @return the stages in order; malformed parts are left out
std::vector<StageTiming> ParseServerTiming(std::string_view header);

/// @brief Collects the outcomes of one run per service.
class LoadResult {
 public:
  void Add(const RequestOutcome& outcome);

  /// @brief All results as JSON; docs/MEASUREMENTS.md describes the fields.
  nlohmann::json ToJson() const;
  /// @brief All results as text.
  std::string ToText() const;

 private:
  struct Service {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t attained = 0;
    std::int64_t cost_micros = 0;
    std::vector<double> latencies_ms;
    std::vector<double> first_token_latencies_ms;
    std::vector<double> token_intervals_ms;
    std::map<std::string, std::uint64_t> errors_by_kind;
    std::map<std::string, std::int64_t> stage_cost_micros;
    std::map<std::string, std::vector<double>> stage_latencies_ms;
  };

  static nlohmann::json ServiceJson(const Service& service);

  std::map<std::string, Service> services_;
};

/// @brief Computes a quantile by the nearest-rank method.
/// @param values in any order
/// @param fraction from 0 to 1
/// @return 0 if there are no values
double Quantile(std::vector<double> values, double fraction);

}  // namespace gentianroute::load

#endif  // GENTIANROUTE_LOADTOOL_LOAD_RESULT_H_
