#include "load_result.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>

namespace gentianroute::load {
namespace {

using nlohmann::json;

constexpr std::string_view kDurationPrefix = "dur=";
constexpr std::string_view kCostPrefix = "cost_micros=";

double ParseNumberAfter(std::string_view text, std::string_view prefix) {
  const std::size_t at = text.find(prefix);
  if (at == std::string_view::npos) {
    return 0;
  }
  const std::string rest(text.substr(at + prefix.size()));
  return std::strtod(rest.c_str(), nullptr);
}

json Quantiles(const std::vector<double>& values) {
  return {{"p50", Quantile(values, 0.50)},
          {"p95", Quantile(values, 0.95)},
          {"p99", Quantile(values, 0.99)},
          {"max", Quantile(values, 1.0)}};
}

std::string FormatRow(std::string_view name, const json& quantiles) {
  std::ostringstream row;
  row << "  " << name << " ms:";
  for (const char* quantile : {"p50", "p95", "p99", "max"}) {
    row << " " << quantile << "=" << quantiles.at(quantile).get<double>();
  }
  row << "\n";
  return row.str();
}

}  // namespace

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const double rank = std::ceil(fraction * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return values[std::min(index, values.size() - 1)];
}

std::vector<StageTiming> ParseServerTiming(std::string_view header) {
  std::vector<StageTiming> stages;
  while (!header.empty()) {
    const std::size_t comma = header.find(", ");
    const std::string_view part = header.substr(0, comma);
    header = comma == std::string_view::npos ? std::string_view()
                                             : header.substr(comma + 2);
    const std::size_t name_end = part.find(';');
    if (name_end == std::string_view::npos) {
      continue;
    }
    stages.push_back(
        {std::string(part.substr(0, name_end)),
         ParseNumberAfter(part, kDurationPrefix),
         static_cast<std::int64_t>(ParseNumberAfter(part, kCostPrefix))});
  }
  return stages;
}

void LoadResult::Add(const RequestOutcome& outcome) {
  Service& service = services_[outcome.service];
  constexpr int kOk = 200;
  ++service.sent;
  service.cost_micros += outcome.cost_micros;
  if (outcome.status != kOk || !outcome.error_kind.empty()) {
    ++service.errors_by_kind[outcome.status == 0 ? "no_answer"
                                                 : outcome.error_kind];
    return;
  }
  ++service.answered;
  service.attained += outcome.attained ? 1 : 0;
  service.latencies_ms.push_back(Milliseconds(outcome.latency));
  if (outcome.first_token_latency.count() > 0) {
    service.first_token_latencies_ms.push_back(
        Milliseconds(outcome.first_token_latency));
  }
  for (const Duration gap : outcome.token_intervals) {
    service.token_intervals_ms.push_back(Milliseconds(gap));
  }
  for (const StageTiming& stage : ParseServerTiming(outcome.server_timing)) {
    service.stage_cost_micros[stage.stage] += stage.cost_micros;
    service.stage_latencies_ms[stage.stage].push_back(stage.milliseconds);
  }
}

json LoadResult::ServiceJson(const Service& service) {
  json stages = json::object();
  for (const auto& [name, cost_micros] : service.stage_cost_micros) {
    const double answers = static_cast<double>(service.answered);
    stages[name] = {
        {"cost_micros", cost_micros},
        {"cost_micros_per_answer",
         answers > 0 ? static_cast<double>(cost_micros) / answers : 0.0},
        {"ms", Quantiles(service.stage_latencies_ms.at(name))}};
  }
  const double sent = static_cast<double>(service.sent);
  json description = {
      {"sent", service.sent},
      {"answered", service.answered},
      {"attainment",
       sent > 0 ? static_cast<double>(service.attained) / sent : 0.0},
      {"errors", service.errors_by_kind},
      {"cost_micros", service.cost_micros},
      {"ms", Quantiles(service.latencies_ms)},
      {"stages", std::move(stages)}};
  if (!service.first_token_latencies_ms.empty()) {
    description["first_token_ms"] = Quantiles(service.first_token_latencies_ms);
    description["between_tokens_ms"] = Quantiles(service.token_intervals_ms);
  }
  return description;
}

json LoadResult::ToJson() const {
  json services = json::object();
  for (const auto& [name, service] : services_) {
    services[name] = ServiceJson(service);
  }
  return {{"services", std::move(services)}};
}

std::string LoadResult::ToText() const {
  std::ostringstream text;
  const json all = ToJson();
  for (const auto& [name, service] : all.at("services").items()) {
    text << name << ": sent=" << service.at("sent")
         << " answered=" << service.at("answered")
         << " attainment=" << service.at("attainment")
         << " cost_micros=" << service.at("cost_micros") << "\n";
    text << FormatRow("whole answer", service.at("ms"));
    if (service.contains("first_token_ms")) {
      text << FormatRow("first token", service.at("first_token_ms"));
      text << FormatRow("between tokens", service.at("between_tokens_ms"));
    }
    for (const auto& [stage, values] : service.at("stages").items()) {
      text << FormatRow("stage " + stage, values.at("ms"));
      text << "    cost_micros=" << values.at("cost_micros")
           << " per answer=" << values.at("cost_micros_per_answer") << "\n";
    }
    for (const auto& [error_kind, count] : service.at("errors").items()) {
      text << "  error " << error_kind << ": " << count << "\n";
    }
  }
  return text.str();
}

}  // namespace gentianroute::load
