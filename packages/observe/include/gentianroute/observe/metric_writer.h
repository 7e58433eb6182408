#ifndef GENTIANROUTE_OBSERVE_METRIC_WRITER_H_
#define GENTIANROUTE_OBSERVE_METRIC_WRITER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gentianroute {

struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

/// @brief Writes the Prometheus text format, version 0.0.4.
///
/// As the format requires, a metric's HELP and TYPE lines come once, directly
/// before all of its samples.
class MetricWriter {
 public:
  /// @brief Starts a metric: writes its HELP and TYPE lines.
  /// @param type `counter`, `gauge` or `histogram`
  void AddMetric(std::string_view name,
                 std::string_view type,
                 std::string_view help);
  void AddSample(std::string_view name,
                 std::span<const MetricLabel> labels,
                 double value);
  void AddSample(std::string_view name,
                 std::span<const MetricLabel> labels,
                 std::uint64_t value);

  const std::string& text() const { return text_; }

 private:
  void AppendLine(std::string_view name,
                  std::span<const MetricLabel> labels,
                  const std::string& value);

  std::string text_;
};

/// @brief Shortest decimal form that parses back to the same value.
std::string FormatMetricNumber(double value);

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_METRIC_WRITER_H_
