#ifndef GENTIANROUTE_OBSERVE_REQUEST_METRICS_H_
#define GENTIANROUTE_OBSERVE_REQUEST_METRICS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/decision/action.h"
#include "gentianroute/decision/catalogue.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/observe/duration_histogram.h"

namespace gentianroute {

/// @brief Label value that replaces every undeclared name.
inline constexpr std::string_view kOtherLabel = "other";

/// @brief Labels of one set of time series; `stage` is empty for whole
/// requests.
struct RequestLabels {
  std::string service;
  std::string profile;
  std::string stage;

  friend auto operator<=>(const RequestLabels&, const RequestLabels&) = default;
};

/// @brief Metrics of the requests of one service under one profile.
struct RequestSeries {
  DurationHistogram latency;
  DurationHistogram first_token;
  std::uint64_t answered = 0;
  std::uint64_t replayed = 0;
  std::map<ErrorKind, std::uint64_t> errors;
};

/// @brief Metrics of one stage of one service under one profile.
struct StageSeries {
  DurationHistogram queueing;
  DurationHistogram latency;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t units = 0;
  std::uint64_t billed_bytes = 0;
  std::int64_t cost_micros = 0;
};

/// @brief Metrics of finished requests.
///
/// Memory is bounded regardless of what callers send: only declared names
/// become labels, and at most `max_label_sets` sets of them; all others are
/// counted under `other`. Otherwise callers who try random names could exhaust
/// the memory of the daemon and of the monitoring system.
class RequestMetrics {
 public:
  struct Options {
    std::size_t max_label_sets = 4096;
  };

  RequestMetrics() : RequestMetrics(Options{}) {}
  explicit RequestMetrics(Options options) : options_(options) {}

  /// @brief Sets the declared names, which are used as labels from now on.
  void SetCatalogue(CatalogueRef catalogue) {
    catalogue_ = std::move(catalogue);
  }

  /// @complexity logarithmic in the label sets
  void Observe(const FinishRequest& finish);

  void Write(MetricWriter& writer) const;

  const std::map<RequestLabels, StageSeries>& stages() const { return stages_; }
  std::size_t label_sets() const { return requests_.size() + stages_.size(); }

  /// @return the name if it is declared, otherwise `other`
  std::string_view ServiceLabel(std::string_view service) const;

 private:
  RequestLabels LabelsOf(const FinishRequest& finish) const;
  std::string_view StageLabel(std::string_view profile,
                              std::string_view stage) const;
  template <typename Series>
  Series& SeriesFor(std::map<RequestLabels, Series>& series,
                    const RequestLabels& labels);
  void WriteRequests(MetricWriter& writer) const;
  void WriteStages(MetricWriter& writer) const;

  Options options_;
  CatalogueRef catalogue_;
  std::map<RequestLabels, RequestSeries> requests_;
  std::map<RequestLabels, StageSeries> stages_;
};

/// @brief Writes the coordinator's counters as metrics.
void WriteCounters(MetricWriter& writer, const CoordinatorCounters& counters);

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_REQUEST_METRICS_H_
