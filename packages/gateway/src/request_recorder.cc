#include "gentianroute/gateway/request_recorder.h"

#include <span>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

constexpr auto kRouteKindNames =
    std::to_array<std::string_view>({"idempotent", "non_idempotent", "stream"});

/// Log fields with the number of servers that could not be chosen, and labels
/// of the metrics, by PlacementVerdict.
constexpr auto kLimitNames = std::to_array<std::string_view>(
    {"accepted", "outside_regions", "evacuated", "cold", "rate_limited",
     "not_sender", "no_room", "other_version", "backoff", "not_recorded"});

/// Values of a log field, by OriginEvidence.
constexpr auto kEvidenceNames = std::to_array<std::string_view>(
    {"none", "one_version", "several_versions", "recorded"});

/// Whether the request was answered or cancelled by its caller.
bool IsExpectedOutcome(std::string_view outcome) {
  return outcome == "answered" || outcome == "caller_gone";
}

}  // namespace

void RequestRecorder::OnAdmitted(const RequestAdmitted& admitted) {
  LogEvent event("request_admitted");
  event.ForRequest(admitted.id, LogPriority::kLow)
      .Field("route", admitted.route)
      .Field("organisation", admitted.organisation)
      .Field("version", admitted.deployment_version)
      .Field("pieces", admitted.stage_pieces)
      .Field("home", admitted.home_data_centre)
      .Field("left_ms", WholeMilliseconds(admitted.time_left))
      .Field("stages_expected_ms",
             WholeMilliseconds(admitted.expected_stage_time))
      .Field("fingerprint", admitted.fingerprint.value);
  if (!admitted.resume_after.empty()) {
    event.Field("begun_by", admitted.stream_begun_by)
        .Field("resume_after", admitted.resume_after);
  }
}

void RequestRecorder::OnSent(const RequestSent& sent) {
  for (std::size_t i = 1; i < sent.verdicts.size(); ++i) {
    limited_[i] += sent.verdicts[i] > 0 ? 1 : 0;
  }
  LogEvent event("request_sent");
  event.ForRequest(sent.id, LogPriority::kLow)
      .Field("server", sent.server)
      .Field("data_centre", sent.data_centre)
      .Field("software", sent.software_version)
      .Field("server_calls", static_cast<std::int64_t>(sent.server_calls))
      .Field("server_tokens", static_cast<std::int64_t>(sent.server_tokens))
      .Field("unread_before",
             static_cast<std::int64_t>(sent.pending_prefill_tokens))
      .Field("own_tokens", static_cast<std::int64_t>(sent.own_tokens))
      .Field("shared_unread",
             static_cast<std::int64_t>(sent.uncached_shared_tokens))
      .Field("score_ms", static_cast<std::int64_t>(sent.score_ms))
      .Field("left_ms", WholeMilliseconds(sent.time_left));
  for (std::size_t i = 1; i < sent.verdicts.size(); ++i) {
    if (sent.verdicts[i] > 0) {
      event.Field(kLimitNames[i], sent.verdicts[i]);
    }
  }
}

void RequestRecorder::OnServerBroke(const ServerBroke& broke) {
  ++servers_broke_;
  LogEvent("server_broke", LogLevel::kWarning)
      .ForRequest(broke.id, LogPriority::kHigh)
      .Field("server", broke.server)
      .Field("fingerprint", broke.fingerprint.value)
      .Field("crashes", broke.crashes);
}

void RequestRecorder::OnHandedOver(std::string_view id,
                                   std::string_view peer,
                                   std::uint32_t hops) {
  ++handed_over_;
  LogEvent("request_handed_over")
      .ForRequest(id, LogPriority::kNormal)
      .Field("peer", peer)
      .Field("hops", hops);
}

void RequestRecorder::OnOriginLookedUp(std::string_view id,
                                       std::string_view stream,
                                       const OriginFinding& finding) {
  ++(finding.origin ? origins_found_ : origins_unknown_);
  LogEvent event("stream_origin",
                 finding.origin ? LogLevel::kInfo : LogLevel::kWarning);
  event.ForRequest(id, LogPriority::kHigh)
      .Field("begun_by", stream)
      .Field("known", finding.origin ? "yes" : "no")
      .Field("evidence",
             kEvidenceNames[static_cast<std::size_t>(finding.evidence)])
      .Field("confirmed", finding.is_confirmed ? "yes" : "no")
      .Field("asked", finding.asked)
      .Field("unanswered", finding.unanswered)
      .Field("taken_ms", Milliseconds(finding.taken));
  if (finding.origin) {
    event.Field("service", finding.origin->service)
        .Field("software", finding.origin->software_version);
  }
}

void RequestRecorder::OnPartQuarantined(Fingerprint part, std::size_t crashes) {
  ++quarantines_;
  LogEvent("part_quarantined", LogLevel::kWarning)
      .Field("part", part.value)
      .Field("crashes", crashes);
}

void RequestRecorder::OnCrashesDropped(Fingerprint fingerprint,
                                       std::size_t crashes,
                                       SuspectTable::DropReason reason) {
  const bool lapsed = reason == SuspectTable::DropReason::kLapsed;
  LogEvent("crashes_dropped", LogLevel::kWarning)
      .Field("fingerprint", fingerprint.value)
      .Field("crashes", crashes)
      .Field("reason", lapsed ? "not confirmed" : "answered");
}

void RequestRecorder::OnQuarantined(Fingerprint fingerprint,
                                    std::size_t crashes) {
  ++quarantines_;
  LogEvent("request_quarantined", LogLevel::kWarning)
      .Field("fingerprint", fingerprint.value)
      .Field("crashes", crashes);
}

void RequestRecorder::OnEnd(const RequestEnd& end) {
  ++outcomes_[std::string(end.outcome)];
  const auto kind = static_cast<std::size_t>(end.kind);
  total_times_[kind].Add(end.total_time);
  if (end.time_to_first_byte.count() > 0) {
    first_byte_times_[kind].Add(end.time_to_first_byte);
  }
  LogEvent event("request_end");
  event
      .ForRequest(end.id, IsExpectedOutcome(end.outcome) ? LogPriority::kNormal
                                                         : LogPriority::kHigh)
      .Field("route", end.route)
      .Field("organisation", end.organisation)
      .Field("outcome", end.outcome)
      .Field("status", end.status)
      .Field("version", end.deployment_version)
      .Field("service", end.service)
      .Field("server", end.server)
      .Field("sends", end.attempts)
      .Field("stages_ms", WholeMilliseconds(end.stages_time))
      .Field("first_ms", WholeMilliseconds(end.time_to_first_byte))
      .Field("total_ms", WholeMilliseconds(end.total_time));
  if (!end.detail.empty()) {
    event.Field("detail", end.detail);
  }
}

void RequestRecorder::OnRetry(std::string_view id,
                              std::string_view what,
                              std::string_view server,
                              std::string_view reason) {
  ++retries_[std::string(what)];
  LogEvent("request_repeat", LogLevel::kWarning)
      .ForRequest(id, LogPriority::kHigh)
      .Field("what", what)
      .Field("server", server)
      .Field("reason", reason);
}

void RequestRecorder::Write(MetricWriter& writer) const {
  writer.AddMetric("gentianroute_gateway_requests_total", "counter",
                   "Requests by how they ended.");
  for (const auto& [outcome, count] : outcomes_) {
    const MetricLabel label{"outcome", outcome};
    writer.AddSample("gentianroute_gateway_requests_total", {&label, 1}, count);
  }
  writer.AddMetric("gentianroute_gateway_repeats_total", "counter",
                   "Work that was done once more, by what it was.");
  for (const auto& [what, count] : retries_) {
    const MetricLabel label{"what", what};
    writer.AddSample("gentianroute_gateway_repeats_total", {&label, 1}, count);
  }
  writer.AddMetric("gentianroute_gateway_limited_sends_total", "counter",
                   "Requests sent while servers could not be chosen, by the "
                   "reason.");
  for (std::size_t i = 1; i < limited_.size(); ++i) {
    const MetricLabel label{"reason", kLimitNames[i]};
    writer.AddSample("gentianroute_gateway_limited_sends_total", {&label, 1},
                     limited_[i]);
  }
  writer.AddMetric("gentianroute_gateway_servers_broke_total", "counter",
                   "Connections to servers that broke during a request.");
  writer.AddSample("gentianroute_gateway_servers_broke_total", {},
                   servers_broke_);
  writer.AddMetric("gentianroute_gateway_handed_over_total", "counter",
                   "Requests handed to a peer because this daemon was cut off "
                   "from the servers.");
  writer.AddSample("gentianroute_gateway_handed_over_total", {}, handed_over_);
  writer.AddMetric("gentianroute_gateway_stream_origins_total", "counter",
                   "Streams taken up by callers whose origin the peers were "
                   "asked for, by whether it was found.");
  const MetricLabel found{"result", "found"};
  const MetricLabel unknown{"result", "unknown"};
  writer.AddSample("gentianroute_gateway_stream_origins_total", {&found, 1},
                   origins_found_);
  writer.AddSample("gentianroute_gateway_stream_origins_total", {&unknown, 1},
                   origins_unknown_);
  writer.AddMetric("gentianroute_gateway_quarantines_total", "counter",
                   "Requests, and parts of prompts, found by this daemon to "
                   "crash servers.");
  writer.AddSample("gentianroute_gateway_quarantines_total", {}, quarantines_);
  writer.AddMetric("gentianroute_gateway_first_seconds", "histogram",
                   "Time to the first part of an answer.");
  for (std::size_t i = 0; i < kRouteKinds; ++i) {
    const MetricLabel label{"kind", kRouteKindNames[i]};
    first_byte_times_[i].Write(writer, "gentianroute_gateway_first_seconds",
                               {&label, 1});
  }
  writer.AddMetric("gentianroute_gateway_total_seconds", "histogram",
                   "Time to the end of an answer.");
  for (std::size_t i = 0; i < kRouteKinds; ++i) {
    const MetricLabel label{"kind", kRouteKindNames[i]};
    total_times_[i].Write(writer, "gentianroute_gateway_total_seconds",
                          {&label, 1});
  }
}

}  // namespace gentianroute::gateway
