#include "gentianroute/observe/metric_writer.h"

#include <array>
#include <charconv>

namespace gentianroute {
namespace {

void AppendEscaped(std::string& output,
                   std::string_view text,
                   bool escape_quotes) {
  for (const char c : text) {
    if (c == '\n') {
      output += "\\n";
    } else if (c == '\\' || (escape_quotes && c == '"')) {
      output += '\\';
      output += c;
    } else {
      output += c;
    }
  }
}

}  // namespace

std::string FormatMetricNumber(double value) {
  constexpr std::size_t kMaxNumberLength = 32;
  std::array<char, kMaxNumberLength> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

void MetricWriter::AddMetric(std::string_view name,
                             std::string_view type,
                             std::string_view help) {
  text_.append("# HELP ").append(name).append(" ");
  AppendEscaped(text_, help, false);
  text_.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void MetricWriter::AddSample(std::string_view name,
                             std::span<const MetricLabel> labels,
                             double value) {
  AppendLine(name, labels, FormatMetricNumber(value));
}

void MetricWriter::AddSample(std::string_view name,
                             std::span<const MetricLabel> labels,
                             std::uint64_t value) {
  AppendLine(name, labels, std::to_string(value));
}

void MetricWriter::AppendLine(std::string_view name,
                              std::span<const MetricLabel> labels,
                              const std::string& value) {
  text_.append(name);
  char separator = '{';
  for (const MetricLabel& label : labels) {
    text_ += separator;
    text_.append(label.name).append("=\"");
    AppendEscaped(text_, label.value, true);
    text_ += '"';
    separator = ',';
  }
  text_.append(labels.empty() ? " " : "} ").append(value).append("\n");
}

}  // namespace gentianroute
