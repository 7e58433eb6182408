#include "gentianroute/gateway/limit_recorder.h"

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {

namespace {

/// @param rate empty: no limit
void AddRate(LogEvent& event,
             std::string_view field,
             std::optional<double> rate,
             std::string_view told_by) {
  if (rate) {
    event.Field(field, *rate);
  } else {
    event.Field(field, "unlimited");
  }
  if (!told_by.empty()) {
    event.Field("told_by", told_by);
  }
}

}  // namespace

void LogRequestLimit(const routing::Server& server, std::string_view told_by) {
  LogEvent event("server_limit");
  event.Field("server", server.record().id);
  AddRate(event, "per_second", server.request_limit().rate(), told_by);
}

void LogBrittleService(std::string_view service,
                       std::optional<double> bearable_rejections,
                       std::string_view told_by) {
  LogEvent event("service_brittle");
  event.Field("service", service);
  AddRate(event, "bearable_per_second", bearable_rejections, told_by);
}

}  // namespace gentianroute::gateway
