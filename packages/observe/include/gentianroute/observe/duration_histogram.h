#ifndef GENTIANROUTE_OBSERVE_DURATION_HISTOGRAM_H_
#define GENTIANROUTE_OBSERVE_DURATION_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <span>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/observe/metric_writer.h"

namespace gentianroute {

/// @brief Histogram of durations with fixed buckets from 1 ms to 60 s.
class DurationHistogram {
 public:
  DurationHistogram();

  /// @brief Adds a duration; a negative one counts as 0.
  void Add(Duration duration);

  /// @brief Writes the _bucket, _sum and _count samples in seconds. The caller
  /// writes the HELP and TYPE lines, see MetricWriter::AddMetric().
  void Write(MetricWriter& writer,
             std::string_view name,
             std::span<const MetricLabel> labels) const;

  std::uint64_t count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::variable<
      double,
      boost::use_default,
      boost::histogram::axis::option::overflow_t>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> buckets_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_DURATION_HISTOGRAM_H_
