#include "gentianroute/gateway/server_notices.h"

#include "gentianroute/gateway/limit_recorder.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {

void ServerNotices::OnAnswer(TimePoint now,
                             TimePoint sent_at,
                             const ServerNotice& notice,
                             routing::Server& server) {
  if (server.request_limit().OnAnswer(now, sent_at, notice.request_limit)) {
    LogRequestLimit(server, "");
  }
  if (notice.backoff) {
    ++backoffs_;
    LogEvent("server_backoff")
        .Field("server", server.record().id)
        .Field("asked_ms", WholeMilliseconds(*notice.backoff));
  }
}

void ServerNotices::Write(MetricWriter& writer) const {
  writer.AddMetric("gentianroute_gateway_server_backoffs_total", "counter",
                   "Answers in which servers asked for a backoff.");
  writer.AddSample("gentianroute_gateway_server_backoffs_total", {},
                   static_cast<double>(backoffs_));
}

}  // namespace gentianroute::gateway
