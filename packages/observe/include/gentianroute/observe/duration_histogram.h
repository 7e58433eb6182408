#ifndef GENTIANROUTE_OBSERVE_DURATION_HISTOGRAM_H_
#define GENTIANROUTE_OBSERVE_DURATION_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <span>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/observe/metric_writer.h"

namespace gentianroute {

/// @brief Durations from a millisecond to a minute, in a fixed set of buckets.
class DurationHistogram {
 public:
  DurationHistogram();

  void Add(Duration duration);

  /// @brief Writes _bucket, _sum and _count, in seconds; the heading is the
  /// caller's.
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
