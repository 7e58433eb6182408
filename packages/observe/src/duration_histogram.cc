#include "gentianroute/observe/duration_histogram.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace gentianroute {
namespace {

using std::chrono::milliseconds;

constexpr auto kUpperBounds = std::to_array<Duration>(
    {milliseconds(1), milliseconds(2), milliseconds(5), milliseconds(10),
     milliseconds(25), milliseconds(50), milliseconds(100), milliseconds(250),
     milliseconds(500), milliseconds(1000), milliseconds(2500),
     milliseconds(5000), milliseconds(10'000), milliseconds(30'000),
     milliseconds(60'000)});

/// Boost.Histogram bins exclude their upper edge but Prometheus buckets include
/// it, so each edge lies one microsecond above its bound.
std::vector<double> BinEdges() {
  std::vector<double> edges = {0};
  for (const Duration bound : kUpperBounds) {
    edges.push_back(static_cast<double>(bound.count() + 1));
  }
  return edges;
}

}  // namespace

DurationHistogram::DurationHistogram()
    : buckets_(std::make_tuple(Axis(BinEdges())), Storage()) {}

void DurationHistogram::Add(Duration duration) {
  const Duration clamped = std::max(duration, Duration{0});
  buckets_(static_cast<double>(clamped.count()));
  sum_seconds_ += Seconds(clamped);
  ++count_;
}

void DurationHistogram::Write(MetricWriter& writer,
                              std::string_view name,
                              std::span<const MetricLabel> labels) const {
  const std::string bucket_name = std::string(name) + "_bucket";
  std::vector<MetricLabel> bucket_labels(labels.begin(), labels.end());
  bucket_labels.push_back({"le", ""});
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kUpperBounds.size(); ++i) {
    cumulative += buckets_.at(static_cast<int>(i));
    const std::string bound = FormatMetricNumber(Seconds(kUpperBounds[i]));
    bucket_labels.back().value = bound;
    writer.AddSample(bucket_name, bucket_labels, cumulative);
  }
  bucket_labels.back().value = "+Inf";
  writer.AddSample(bucket_name, bucket_labels, count_);
  writer.AddSample(std::string(name) + "_sum", labels, sum_seconds_);
  writer.AddSample(std::string(name) + "_count", labels, count_);
}

}  // namespace gentianroute
