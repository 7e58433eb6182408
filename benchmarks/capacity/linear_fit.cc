#include "linear_fit.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace gentianroute::capacity {

LinearFit FitLine(std::string name,
                  std::string size_unit,
                  std::string value_unit,
                  std::vector<Point> points,
                  double target) {
  double size_sum = 0;
  double value_sum = 0;
  double square_sum = 0;
  double product_sum = 0;
  for (const Point& point : points) {
    size_sum += point.size;
    value_sum += point.value;
    square_sum += point.size * point.size;
    product_sum += point.size * point.value;
  }
  const auto count = static_cast<double>(points.size());
  const double determinant = count * square_sum - size_sum * size_sum;
  LinearFit fit;
  fit.name = std::move(name);
  fit.size_unit = std::move(size_unit);
  fit.value_unit = std::move(value_unit);
  fit.per_size =
      determinant > 0
          ? (count * product_sum - size_sum * value_sum) / determinant
          : 0;
  fit.base = (value_sum - fit.per_size * size_sum) / count;
  fit.target = target;
  fit.at_target = fit.base + fit.per_size * target;
  for (const Point& point : points) {
    if (point.size == target) {
      fit.at_target = point.value;
    }
  }
  fit.points = std::move(points);
  return fit;
}

double ShortestRun(int runs, const std::function<void()>& body) {
  double shortest = std::numeric_limits<double>::infinity();
  for (int run = 0; run < runs; ++run) {
    const auto begin = std::chrono::steady_clock::now();
    body();
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    shortest = std::min(shortest, took.count());
  }
  return shortest;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

std::string ToText(std::span<const LinearFit> fits) {
  std::string text;
  char line[256];
  for (const LinearFit& fit : fits) {
    std::snprintf(line, sizeof(line), "%s (%s by %s)\n", fit.name.c_str(),
                  fit.value_unit.c_str(), fit.size_unit.c_str());
    text += line;
    for (const Point& point : fit.points) {
      std::snprintf(line, sizeof(line), "  %10.0f  %14.4g\n", point.size,
                    point.value);
      text += line;
    }
    std::snprintf(line, sizeof(line),
                  "  base %.4g, per one more %.4g, at %.0f: %.4g\n", fit.base,
                  fit.per_size, fit.target, fit.at_target);
    text += line;
  }
  return text;
}

std::string ToJson(std::span<const LinearFit> fits) {
  nlohmann::json all = nlohmann::json::array();
  for (const LinearFit& fit : fits) {
    nlohmann::json points = nlohmann::json::array();
    for (const Point& point : fit.points) {
      points.push_back({{"size", point.size}, {"value", point.value}});
    }
    all.push_back({{"name", fit.name},
                   {"size_unit", fit.size_unit},
                   {"value_unit", fit.value_unit},
                   {"points", std::move(points)},
                   {"base", fit.base},
                   {"per_size", fit.per_size},
                   {"target", fit.target},
                   {"at_target", fit.at_target}});
  }
  return all.dump(2);
}

}  // namespace gentianroute::capacity
