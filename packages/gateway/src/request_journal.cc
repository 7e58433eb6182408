#include "gentianroute/gateway/request_journal.h"

#include <span>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

constexpr auto kKindNames =
    std::to_array<std::string_view>({"idempotent", "non_idempotent", "stream"});

}  // namespace

void RequestJournal::OnEnd(const RequestEnd& end) {
  ++outcomes_[std::string(end.outcome)];
  const auto kind = static_cast<std::size_t>(end.kind);
  total_[kind].Add(end.total);
  if (end.first.count() > 0) {
    first_[kind].Add(end.first);
  }
  LogEvent event("request_end");
  event.Field("id", end.id)
      .Field("route", end.route)
      .Field("organisation", end.organisation)
      .Field("outcome", end.outcome)
      .Field("status", end.status)
      .Field("version", end.deployment_version)
      .Field("service", end.service)
      .Field("server", end.server)
      .Field("sends", end.sends)
      .Field("stages_ms", end.stages.count() / 1000)
      .Field("first_ms", end.first.count() / 1000)
      .Field("total_ms", end.total.count() / 1000);
  if (!end.detail.empty()) {
    event.Field("detail", end.detail);
  }
}

void RequestJournal::OnRepeat(std::string_view id,
                              std::string_view what,
                              std::string_view server,
                              std::string_view reason) {
  ++repeats_[std::string(what)];
  LogEvent("request_repeat", LogLevel::kWarning)
      .Field("id", id)
      .Field("what", what)
      .Field("server", server)
      .Field("reason", reason);
}

void RequestJournal::Write(MetricWriter& writer) const {
  writer.Heading("gentianroute_gateway_requests_total", "counter",
                 "Requests by how they ended.");
  for (const auto& [outcome, count] : outcomes_) {
    const MetricLabel label{"outcome", outcome};
    writer.Sample("gentianroute_gateway_requests_total", {&label, 1}, count);
  }
  writer.Heading("gentianroute_gateway_repeats_total", "counter",
                 "Work that was done once more, by what it was.");
  for (const auto& [what, count] : repeats_) {
    const MetricLabel label{"what", what};
    writer.Sample("gentianroute_gateway_repeats_total", {&label, 1}, count);
  }
  writer.Heading("gentianroute_gateway_first_seconds", "histogram",
                 "Time to the first part of an answer.");
  for (std::size_t i = 0; i < kKinds; ++i) {
    const MetricLabel label{"kind", kKindNames[i]};
    first_[i].Write(writer, "gentianroute_gateway_first_seconds", {&label, 1});
  }
  writer.Heading("gentianroute_gateway_total_seconds", "histogram",
                 "Time to the end of an answer.");
  for (std::size_t i = 0; i < kKinds; ++i) {
    const MetricLabel label{"kind", kKindNames[i]};
    total_[i].Write(writer, "gentianroute_gateway_total_seconds", {&label, 1});
  }
}

}  // namespace gentianroute::gateway
