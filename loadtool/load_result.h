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

/// @brief What one request came to.
struct RequestOutcome {
  std::string service;
  int status = 0;          ///< 0: no whole answer
  std::string error_kind;  ///< of the problem body; empty for an answer
  Duration latency{0};
  Duration first_token_latency{0};        ///< zero: not streamed
  std::vector<Duration> token_intervals;  ///< between the tokens of a stream
  bool attained = false;         ///< answered whole within its deadline
  std::int64_t cost_micros = 0;  ///< micro-euros
  std::string server_timing;     ///< as the daemon sent it
};

/// @brief Time and cost of one stage in a Server-Timing header.
struct StageTiming {
  std::string stage;
  double milliseconds = 0;
  std::int64_t cost_micros = 0;  ///< micro-euros
};

/// @brief Reads the Server-Timing header of a daemon's answer.
/// @return the stages in order; parts that can't be read are left out
std::vector<StageTiming> ParseServerTiming(std::string_view header);

/// @brief Collects outcomes of one run, per service.
class LoadResult {
 public:
  void Add(const RequestOutcome& outcome);

  /// @brief Everything, as JSON: see docs/MEASUREMENTS.md.
  nlohmann::json ToJson() const;
  /// @brief The same for a terminal.
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

/// @brief A quantile by the nearest-rank method.
/// @param values in any order; 0 if there are none
double Quantile(std::vector<double> values, double fraction);

}  // namespace gentianroute::load

#endif  // GENTIANROUTE_LOADTOOL_LOAD_RESULT_H_
