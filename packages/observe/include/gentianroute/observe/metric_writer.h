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
/// All samples of a metric follow its one heading, as the format demands.
class MetricWriter {
 public:
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

/// @brief A number in its shortest form that reads back as the same.
std::string FormatMetricNumber(double value);

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_METRIC_WRITER_H_
