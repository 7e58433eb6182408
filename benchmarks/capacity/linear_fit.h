#ifndef GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_
#define GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gentianroute::capacity {

/// @brief One measurement.
struct Point {
  double size = 0;
  double value = 0;
};

/// @brief A quantity measured at several sizes, with its fitted line.
struct LinearFit {
  std::string name;
  std::string size_unit;   ///< unit of the independent variable
  std::string value_unit;  ///< unit of the measured quantity
  std::vector<Point> points;
  double base = 0;      ///< intercept of the least-squares line
  double per_size = 0;  ///< slope of the line
  double target = 0;    ///< target size
  /// Value at the target size: measured if there is such a point, else
  /// predicted by the line.
  double at_target = 0;
};

/// @brief Fits a least-squares line to the points.
LinearFit FitLine(std::string name,
                  std::string size_unit,
                  std::string value_unit,
                  std::vector<Point> points,
                  double target);

/// @brief Runs `body` several times and takes the minimum, which is the least
/// affected by other load on the machine.
/// @return seconds
double ShortestRun(int runs, const std::function<void()>& body);

/// @brief Returns the heap memory in use by this process, in bytes.
double HeapBytes();

std::string ToText(std::span<const LinearFit> fits);
std::string ToJson(std::span<const LinearFit> fits);

}  // namespace gentianroute::capacity

#endif  // GENTIANROUTE_BENCHMARKS_CAPACITY_LINEAR_FIT_H_
