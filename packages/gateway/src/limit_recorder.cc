#include "gentianroute/gateway/limit_recorder.h"

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {

void LogRequestLimit(const routing::Server& server, std::string_view told_by) {
  LogEvent event("server_limit");
  event.Field("server", server.record().id);
  const std::optional<double>& rate = server.request_limit().rate();
  if (rate) {
    event.Field("per_second", *rate);
  } else {
    event.Field("per_second", "unlimited");
  }
  if (!told_by.empty()) {
    event.Field("told_by", told_by);
  }
}

void RecordRequestLimit(TimePoint now,
                        TimePoint sent_at,
                        std::optional<double> requests_per_second,
                        routing::Server& server) {
  if (server.request_limit().OnAnswer(now, sent_at, requests_per_second)) {
    LogRequestLimit(server, "");
  }
}

void LogBrittleService(std::string_view service,
                       std::optional<double> bearable_rejections,
                       std::string_view told_by) {
  LogEvent event("service_brittle");
  event.Field("service", service);
  if (bearable_rejections) {
    event.Field("bearable_per_second", *bearable_rejections);
  } else {
    event.Field("bearable_per_second", "unlimited");
  }
  if (!told_by.empty()) {
    event.Field("told_by", told_by);
  }
}

}  // namespace gentianroute::gateway
