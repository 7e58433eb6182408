#ifndef GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_
#define GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gentianroute::capacity {

/// @brief One measured point.
struct Point {
  double size = 0;
  double value = 0;
};

/// @brief A quantity measured at several sizes, with its fitted line.
struct LinearFit {
  std::string name;
  std::string size_unit;   ///< what grows
  std::string value_unit;  ///< what was measured
  std::vector<Point> points;
  double base = 0;      ///< value at size 0 by least squares
  double per_size = 0;  ///< growth for one more
  double target = 0;    ///< size at the target
  /// Value at the target, by the line; measured itself if a point is there.
  double at_target = 0;
};

/// @brief Fits a line through the points.
LinearFit FitLine(std::string name,
                  std::string size_unit,
                  std::string value_unit,
                  std::vector<Point> points,
                  double target);

/// @brief Shortest of several runs, which the machine's other work disturbs
/// least.
/// @return seconds of one run
double ShortestRun(int runs, const std::function<void()>& body);

/// @brief Heap in use by this process, in bytes.
double HeapBytes();

std::string ToText(std::span<const LinearFit> fits);
std::string ToJson(std::span<const LinearFit> fits);

}  // namespace gentianroute::capacity

#endif  // GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_
