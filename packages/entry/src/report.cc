#include "gentianroute/entry/report.h"

#include <string>
#include <utility>

namespace gentianroute {
namespace {

using nlohmann::json;

json AttainmentJson(const Attainment& attainment) {
  return {{"total", attainment.total}, {"attained", attainment.attained}};
}

/// Returns why a server is sent no calls; empty if it is.
std::string UnavailabilityReason(const Server& server, TimePoint now) {
  if (server.leaving) {
    return "leaving";
  }
  if (!server.listed) {
    return "missing from the host list";
  }
  if (now < server.ejected_until) {
    return std::to_string(server.consecutive_failures) +
           " consecutive failures, retried in " +
           std::to_string(static_cast<std::int64_t>(
               Milliseconds(server.ejected_until - now))) +
           " ms";
  }
  return {};
}

}  // namespace

json ServicesReport(const ServiceLevels& levels, TimePoint now) {
  json services = json::array();
  for (const ServiceLevels::Service& service : levels.Report(now)) {
    json windows = json::array();
    for (std::size_t i = 0; i < service.windows.size(); ++i) {
      json window = AttainmentJson(service.windows[i]);
      window["seconds"] =
          static_cast<std::int64_t>(Seconds(ServiceLevels::kWindows[i]));
      windows.push_back(std::move(window));
    }
    json record = AttainmentJson(service.since_start);
    record["service"] = service.name;
    record["windows"] = std::move(windows);
    services.push_back(std::move(record));
  }
  return services;
}

json StagesReport(const RequestMetrics& metrics) {
  json stages = json::array();
  for (const auto& [labels, series] : metrics.stages()) {
    stages.push_back({{"service", labels.service},
                      {"profile", labels.profile},
                      {"stage", labels.stage},
                      {"runs", series.latency.count()},
                      {"attempts", series.attempts},
                      {"units", series.units},
                      {"billed_bytes", series.billed_bytes},
                      {"cost_micros", series.cost_micros}});
  }
  return stages;
}

json UnavailableServersReport(const ServerTable& servers, TimePoint now) {
  json list = json::array();
  for (const auto& [name, server] : servers.servers()) {
    const std::string reason = UnavailabilityReason(*server, now);
    if (!reason.empty()) {
      list.push_back({{"server", name},
                      {"pool", server->host.pool},
                      {"data_centre", server->host.data_centre},
                      {"why", reason}});
    }
  }
  return list;
}

json HeaviestReport(const std::vector<UsageRecord>& heaviest) {
  json list = json::array();
  for (const UsageRecord& use : heaviest) {
    list.push_back({{"organisation", use.name.organisation},
                    {"subscriber", use.name.subscriber},
                    {"cost", use.cost}});
  }
  return list;
}

json ServersReport(const ServerTable& servers, TimePoint now) {
  json rows = json::array();
  for (const auto& [name, server] : servers.servers()) {
    rows.push_back({{"name", name},
                    {"pool", server->host.pool},
                    {"data_centre", server->host.data_centre},
                    {"accepts", server->IsAccepting()},
                    {"leaving", server->leaving},
                    {"in_flight", server->in_flight},
                    {"load", server->host.load},
                    {"out_of_favour", now < server->ejected_until},
                    {"calls", server->calls},
                    {"failures", server->failures}});
  }
  return rows;
}

}  // namespace gentianroute
