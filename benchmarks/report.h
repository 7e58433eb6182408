#ifndef GENTIANROUTE_BENCHMARKS_REPORT_H_
#define GENTIANROUTE_BENCHMARKS_REPORT_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace gentianroute::bench {

/// @brief One measured line: names and values in the order of the columns.
using Row = nlohmann::ordered_json;

/// @brief What a scenario measured, and which of its assertions failed.
struct Report {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<Row> rows;
  std::vector<std::string> failures;

  void Expect(bool condition, std::string description) {
    if (!condition) {
      failures.push_back(std::move(description));
    }
  }
  void WriteText(std::ostream& out) const;
  void WriteJson(std::ostream& out) const;
};

/// @brief A number with three decimals at most.
double RoundToThousandths(double value);

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_REPORT_H_
