#include "load_result.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>

namespace gentianroute::load {
namespace {

using nlohmann::json;

constexpr std::string_view kDuration = "dur=";
constexpr std::string_view kCost = "cost_micros=";

double NumberAfter(std::string_view text, std::string_view mark) {
  const std::size_t at = text.find(mark);
  if (at == std::string_view::npos) {
    return 0;
  }
  const std::string rest(text.substr(at + mark.size()));
  return std::strtod(rest.c_str(), nullptr);
}

json Quantiles(const std::vector<double>& values) {
  return {{"p50", Quantile(values, 0.50)},
          {"p95", Quantile(values, 0.95)},
          {"p99", Quantile(values, 0.99)},
          {"max", Quantile(values, 1.0)}};
}

std::string Row(std::string_view name, const json& quantiles) {
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
    stages.push_back({std::string(part.substr(0, name_end)),
                      NumberAfter(part, kDuration),
                      static_cast<std::int64_t>(NumberAfter(part, kCost))});
  }
  return stages;
}

void LoadResult::Add(const Outcome& outcome) {
  Service& service = services_[outcome.service];
  constexpr int kOk = 200;
  ++service.sent;
  service.cost += outcome.cost;
  if (outcome.status != kOk || !outcome.kind.empty()) {
    ++service.kinds[outcome.status == 0 ? "no_answer" : outcome.kind];
    return;
  }
  ++service.answered;
  service.attained += outcome.attained ? 1 : 0;
  service.milliseconds.push_back(Milliseconds(outcome.took));
  if (outcome.first_token.count() > 0) {
    service.first_token.push_back(Milliseconds(outcome.first_token));
  }
  for (const Duration gap : outcome.between) {
    service.between.push_back(Milliseconds(gap));
  }
  for (const StageTiming& stage : ParseServerTiming(outcome.server_timing)) {
    service.stage_cost[stage.stage] += stage.cost;
    service.stage_milliseconds[stage.stage].push_back(stage.milliseconds);
  }
}

json LoadResult::Describe(const Service& service) {
  json stages = json::object();
  for (const auto& [name, cost] : service.stage_cost) {
    const double answers = static_cast<double>(service.answered);
    stages[name] = {{"cost_micros", cost},
                    {"cost_micros_per_answer",
                     answers > 0 ? static_cast<double>(cost) / answers : 0.0},
                    {"ms", Quantiles(service.stage_milliseconds.at(name))}};
  }
  const double sent = static_cast<double>(service.sent);
  json description = {
      {"sent", service.sent},
      {"answered", service.answered},
      {"attainment",
       sent > 0 ? static_cast<double>(service.attained) / sent : 0.0},
      {"errors", service.kinds},
      {"cost_micros", service.cost},
      {"ms", Quantiles(service.milliseconds)},
      {"stages", std::move(stages)}};
  if (!service.first_token.empty()) {
    description["first_token_ms"] = Quantiles(service.first_token);
    description["between_tokens_ms"] = Quantiles(service.between);
  }
  return description;
}

json LoadResult::ToJson() const {
  json services = json::object();
  for (const auto& [name, service] : services_) {
    services[name] = Describe(service);
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
    text << Row("whole answer", service.at("ms"));
    if (service.contains("first_token_ms")) {
      text << Row("first token", service.at("first_token_ms"));
      text << Row("between tokens", service.at("between_tokens_ms"));
    }
    for (const auto& [stage, values] : service.at("stages").items()) {
      text << Row("stage " + stage, values.at("ms"));
      text << "    cost_micros=" << values.at("cost_micros")
           << " per answer=" << values.at("cost_micros_per_answer") << "\n";
    }
    for (const auto& [kind, count] : service.at("errors").items()) {
      text << "  error " << kind << ": " << count << "\n";
    }
  }
  return text.str();
}

}  // namespace gentianroute::load
