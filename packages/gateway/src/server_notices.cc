#include "gentianroute/gateway/server_notices.h"

#include <algorithm>

#include "gentianroute/gateway/limit_recorder.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

Endpoint EndpointOf(const routing::Server& server) {
  return {server.record().address, server.record().port};
}

}  // namespace

void ServerNotices::OnAnswer(TimePoint now,
                             TimePoint sent_at,
                             const ServerNotice& notice,
                             routing::Server& server) {
  if (server.request_limit().OnAnswer(now, sent_at, notice.request_limit)) {
    LogRequestLimit(server, "");
  }
  if (notice.leaving) {
    OnLeaving(now, {server.record().id, server.record().incarnation()});
  }
  if (notice.backoff) {
    RecordBackoff(now, notice, server);
  } else {
    server.backoff().OnAccepted(sent_at);
    ForgetEarlierServerAt(server);
  }
}

void ServerNotices::ForgetEarlierServerAt(const routing::Server& server) {
  if (backing_off_.empty()) {
    return;
  }
  const auto found = backing_off_.find(EndpointOf(server));
  if (found != backing_off_.end() && found->second != &server) {
    backing_off_.erase(found);
  }
}

void ServerNotices::OnLeaving(TimePoint now, const LeavingServer& leaving) {
  if (servers_.MarkLeaving(now, leaving.server, leaving.incarnation)) {
    LogEvent("server_leaving").Field("server", leaving.server);
  }
}

void ServerNotices::OnAnswerFrom(TimePoint now,
                                 TimePoint sent_at,
                                 const ServerNotice& notice,
                                 const Endpoint& endpoint) {
  if (!notice.backoff && !notice.leaving) {
    return;
  }
  servers_.ForEach([&](routing::Server& server) {
    if (EndpointOf(server) == endpoint) {
      OnAnswer(now, sent_at, notice, server);
    }
  });
}

void ServerNotices::RecordBackoff(TimePoint now,
                                  const ServerNotice& notice,
                                  routing::Server& server) {
  ++backoffs_;
  std::uniform_real_distribution<double> spread;
  server.backoff().OnAsked(now, *notice.backoff, spread(random_));
  backing_off_[EndpointOf(server)] = routing::ServerPtr(&server);
  LogEvent("server_backoff")
      .Field("server", server.record().id)
      .Field("asked_ms", WholeMilliseconds(*notice.backoff))
      .Field("kept_ms", WholeMilliseconds(server.backoff().TimeLeft(now)));
}

bool ServerNotices::IsBackingOff(TimePoint now,
                                 const Endpoint& endpoint) const {
  const auto found = backing_off_.find(endpoint);
  return found != backing_off_.end() && !found->second->backoff().MaySend(now);
}

std::size_t ServerNotices::CountBackingOff(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(backing_off_, [now](const auto& entry) {
        return !entry.second->backoff().MaySend(now);
      }));
}

void ServerNotices::Sweep(TimePoint now) {
  std::erase_if(backing_off_, [now](const auto& entry) {
    return entry.second->backoff().MaySend(now);
  });
}

void ServerNotices::Write(MetricWriter& writer) const {
  writer.AddMetric("gentianroute_gateway_server_backoffs_total", "counter",
                   "Answers in which servers asked for a backoff.");
  writer.AddSample("gentianroute_gateway_server_backoffs_total", {},
                   static_cast<double>(backoffs_));
}

}  // namespace gentianroute::gateway
