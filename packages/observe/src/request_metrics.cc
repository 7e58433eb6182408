#include "gentianroute/observe/request_metrics.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace gentianroute {
namespace {

using Labels = std::vector<MetricLabel>;

Labels LabelList(const RequestLabels& labels) {
  Labels list = {{"service", labels.service}, {"profile", labels.profile}};
  if (!labels.stage.empty()) {
    list.push_back({"stage", labels.stage});
  }
  return list;
}

/// A counter metric with one sample per series.
template <typename Series>
struct SeriesCounterMetric {
  std::string_view name;
  std::string_view help;
  std::uint64_t (*value)(const Series&);
};

template <typename Series>
struct HistogramMetric {
  std::string_view name;
  std::string_view help;
  DurationHistogram Series::*histogram;
};

constexpr auto kRequestCounters =
    std::to_array<SeriesCounterMetric<RequestSeries>>({
        {"gentianroute_answers_total", "Requests answered whole.",
         [](const RequestSeries& s) { return s.answered; }},
        {"gentianroute_replayed_answers_total",
         "Answers that repeat the outcome of an earlier arrival.",
         [](const RequestSeries& s) { return s.replayed; }},
    });

constexpr auto kRequestHistograms =
    std::to_array<HistogramMetric<RequestSeries>>({
        {"gentianroute_request_seconds",
         "Time from a request's arrival to its final answer.",
         &RequestSeries::latency},
        {"gentianroute_first_token_seconds",
         "Time from a request's arrival to its first streamed token.",
         &RequestSeries::first_token},
    });

constexpr auto kStageCounters =
    std::to_array<SeriesCounterMetric<StageSeries>>({
        {"gentianroute_stage_attempts_total", "Calls to backend servers.",
         [](const StageSeries& s) { return s.attempts; }},
        {"gentianroute_stage_retries_total",
         "Calls of a stage after an earlier one failed.",
         [](const StageSeries& s) { return s.retries; }},
        {"gentianroute_stage_hedges_total",
         "Calls of a stage beside one that was slow.",
         [](const StageSeries& s) { return s.hedges; }},
        {"gentianroute_stage_units_total",
         "Units (tokens, for engines) that backend servers reported.",
         [](const StageSeries& s) { return s.units; }},
        {"gentianroute_stage_billed_bytes_total",
         "Bytes moved between regions, as billed.",
         [](const StageSeries& s) { return s.billed_bytes; }},
        {"gentianroute_stage_cost_micros_total", "Cost in micro-euros.",
         [](const StageSeries& s) {
           return static_cast<std::uint64_t>(s.cost_micros);
         }},
    });

constexpr auto kStageHistograms = std::to_array<HistogramMetric<StageSeries>>({
    {"gentianroute_stage_queue_seconds", "Time that a stage waited for a slot.",
     &StageSeries::queueing},
    {"gentianroute_stage_seconds", "Time that a stage's calls took.",
     &StageSeries::latency},
});

struct CoordinatorCounterMetric {
  std::string_view name;
  std::string_view help;
  std::uint64_t CoordinatorCounters::*value;
};

constexpr auto kCoordinatorCounters = std::to_array<CoordinatorCounterMetric>({
    {"gentianroute_requests_total", "Requests taken in.",
     &CoordinatorCounters::submitted},
    {"gentianroute_attempts_total", "Calls to backend servers.",
     &CoordinatorCounters::attempts},
    {"gentianroute_retries_total", "Calls after a failed one.",
     &CoordinatorCounters::retries},
    {"gentianroute_retries_denied_total",
     "Retries that the retry budget did not allow.",
     &CoordinatorCounters::retries_denied},
    {"gentianroute_hedges_total", "Calls beside a slow one.",
     &CoordinatorCounters::hedges},
    {"gentianroute_late_answers_total",
     "Answers dropped since their attempt was settled.",
     &CoordinatorCounters::late_answers},
    {"gentianroute_crossed_answers_total",
     "Answers dropped since they carried another attempt's id.",
     &CoordinatorCounters::crossed_answers},
    {"gentianroute_duplicate_tokens_total",
     "Streamed tokens dropped as doubled.",
     &CoordinatorCounters::duplicate_tokens},
    {"gentianroute_resumed_streams_total",
     "Streams that another engine took over.",
     &CoordinatorCounters::resumed_streams},
    {"gentianroute_joins_total",
     "Requests that joined a running one with the same key.",
     &CoordinatorCounters::joins},
});

template <typename Series, std::size_t kSize>
void WriteSeriesCounters(
    MetricWriter& writer,
    const std::array<SeriesCounterMetric<Series>, kSize>& metrics,
    const std::map<RequestLabels, Series>& all) {
  for (const auto& metric : metrics) {
    writer.AddMetric(metric.name, "counter", metric.help);
    for (const auto& [labels, series] : all) {
      writer.AddSample(metric.name, LabelList(labels), metric.value(series));
    }
  }
}

template <typename Series, std::size_t kSize>
void WriteHistograms(MetricWriter& writer,
                     const std::array<HistogramMetric<Series>, kSize>& metrics,
                     const std::map<RequestLabels, Series>& all) {
  for (const auto& metric : metrics) {
    writer.AddMetric(metric.name, "histogram", metric.help);
    for (const auto& [labels, series] : all) {
      (series.*metric.histogram).Write(writer, metric.name, LabelList(labels));
    }
  }
}

}  // namespace

std::string_view RequestMetrics::ServiceLabel(std::string_view service) const {
  const bool declared =
      catalogue_ != nullptr && catalogue_->services.contains(service);
  return declared ? service : kOtherLabel;
}

std::string_view RequestMetrics::StageLabel(std::string_view profile,
                                            std::string_view stage) const {
  if (catalogue_ == nullptr) {
    return kOtherLabel;
  }
  const auto found = catalogue_->profiles.find(profile);
  if (found == catalogue_->profiles.end()) {
    return kOtherLabel;
  }
  const auto& stages = found->second->stages;
  const bool declared =
      std::ranges::find(stages, stage, &StageSpec::name) != stages.end();
  return declared ? stage : kOtherLabel;
}

RequestLabels RequestMetrics::LabelsOf(const FinishRequest& finish) const {
  const bool profile_declared =
      catalogue_ != nullptr && catalogue_->profiles.contains(finish.profile);
  return {std::string(ServiceLabel(finish.service)),
          profile_declared ? finish.profile : std::string(kOtherLabel),
          {}};
}

template <typename Series>
Series& RequestMetrics::SeriesFor(std::map<RequestLabels, Series>& series,
                                  const RequestLabels& labels) {
  const auto found = series.find(labels);
  if (found != series.end()) {
    return found->second;
  }
  if (label_sets() < options_.max_label_sets) {
    return series[labels];
  }
  const std::string other(kOtherLabel);
  return series[{other, other, labels.stage.empty() ? "" : other}];
}

void RequestMetrics::Observe(const FinishRequest& finish) {
  RequestLabels labels = LabelsOf(finish);
  RequestSeries& request = SeriesFor(requests_, labels);
  request.latency.Add(finish.took);
  if (finish.first_token > Duration{0}) {
    request.first_token.Add(finish.first_token);
  }
  if (finish.error.has_value()) {
    ++request.errors[*finish.error];
  } else {
    ++request.answered;
    request.replayed += finish.replayed ? 1 : 0;
  }
  for (const StageReport& report : finish.stages) {
    labels.stage = StageLabel(finish.profile, report.stage);
    StageSeries& stage = SeriesFor(stages_, labels);
    stage.queueing.Add(report.queued);
    stage.latency.Add(report.took);
    stage.attempts += report.attempts;
    stage.hedges += report.hedges;
    const std::uint32_t expected_attempts = 1 + report.hedges;
    stage.retries += report.attempts > expected_attempts
                         ? report.attempts - expected_attempts
                         : 0;
    stage.units += report.units;
    stage.billed_bytes += report.billed_bytes;
    stage.cost_micros += report.cost;
  }
}

void RequestMetrics::Write(MetricWriter& writer) const {
  WriteRequests(writer);
  WriteStages(writer);
}

void RequestMetrics::WriteRequests(MetricWriter& writer) const {
  constexpr std::string_view kErrors = "gentianroute_errors_total";
  WriteSeriesCounters(writer, kRequestCounters, requests_);
  writer.AddMetric(kErrors, "counter", "Requests that ended in an error.");
  for (const auto& [labels, series] : requests_) {
    for (const auto& [kind, count] : series.errors) {
      const ErrorAnswer answer = AnswerFor(kind);
      Labels list = LabelList(labels);
      list.push_back({"kind", answer.name});
      list.push_back({"work", ExecutionStateName(answer.work)});
      writer.AddSample(kErrors, list, count);
    }
  }
  WriteHistograms(writer, kRequestHistograms, requests_);
}

void RequestMetrics::WriteStages(MetricWriter& writer) const {
  WriteSeriesCounters(writer, kStageCounters, stages_);
  WriteHistograms(writer, kStageHistograms, stages_);
}

void WriteCounters(MetricWriter& writer, const CoordinatorCounters& counters) {
  for (const CoordinatorCounterMetric& metric : kCoordinatorCounters) {
    writer.AddMetric(metric.name, "counter", metric.help);
    writer.AddSample(metric.name, {}, counters.*metric.value);
  }
}

}  // namespace gentianroute
