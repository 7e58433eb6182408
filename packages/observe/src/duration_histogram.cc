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

/// The library's bins exclude their upper edge and the text format's buckets
/// include it, so each edge lies one microsecond above its bound.
std::vector<double> Edges() {
  std::vector<double> edges = {0};
  for (const Duration bound : kUpperBounds) {
    edges.push_back(static_cast<double>(bound.count() + 1));
  }
  return edges;
}

}  // namespace

DurationHistogram::DurationHistogram()
    : buckets_(std::make_tuple(Axis(Edges())), Storage()) {}

void DurationHistogram::Add(Duration duration) {
  const Duration taken = std::max(duration, Duration{0});
  buckets_(static_cast<double>(taken.count()));
  sum_seconds_ += Seconds(taken);
  ++count_;
}

void DurationHistogram::Write(MetricWriter& writer,
                              std::string_view name,
                              std::span<const MetricLabel> labels) const {
  const std::string bucket = std::string(name) + "_bucket";
  std::vector<MetricLabel> with_bound(labels.begin(), labels.end());
  with_bound.push_back({"le", ""});
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < kUpperBounds.size(); ++i) {
    below += buckets_.at(static_cast<int>(i));
    const std::string bound = MetricNumber(Seconds(kUpperBounds[i]));
    with_bound.back().value = bound;
    writer.Sample(bucket, with_bound, below);
  }
  with_bound.back().value = "+Inf";
  writer.Sample(bucket, with_bound, count_);
  writer.Sample(std::string(name) + "_sum", labels, sum_seconds_);
  writer.Sample(std::string(name) + "_count", labels, count_);
}

}  // namespace gentianroute
