#ifndef GENTIANROUTE_BENCHMARKS_REPORT_H_
#define GENTIANROUTE_BENCHMARKS_REPORT_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace gentianroute::bench {

/// @brief One table row: column names and values, in column order.
using Row = nlohmann::ordered_json;

/// @brief Results of one scenario.
struct Report {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<Row> rows;
  std::vector<std::string> failures;  ///< descriptions of failed expectations

  /// @brief Records `description` as a failure unless `condition` holds.
  void Expect(bool condition, std::string description) {
    if (!condition) {
      failures.push_back(std::move(description));
    }
  }
  void WriteText(std::ostream& out) const;
  void WriteJson(std::ostream& out) const;
};

/// @brief Rounds to three decimal places.
double RoundToThousandths(double value);

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_REPORT_H_
