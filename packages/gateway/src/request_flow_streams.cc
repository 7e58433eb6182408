#include <algorithm>
#include <chrono>

#include "gentianroute/gateway/request_flow.h"

// Streams that go on after a break: at servers of the software version that
// began them.

namespace gentianroute::gateway {
namespace {

/// The caller's clock starts later than its last request arrives here.
constexpr Duration kCallerDelay = std::chrono::seconds(1);

}  // namespace

bool RequestFlow::TakesUpStream() const {
  return route_->kind == routing::RouteKind::kStream &&
         !request_.resume_after.empty();
}

const std::string& RequestFlow::StreamId() const {
  return request_.stream_begun_by.empty() ? request_.id
                                          : request_.stream_begun_by;
}

void RequestFlow::LookUpOrigin() {
  if (request_.stream_begun_by.empty() && route_->services.size() > 1) {
    // The service was picked by the id of this request, which may differ from
    // that of the request that began the stream.
    Refuse(ErrorKind::kNoServer,
           "the request that began the stream is not named");
    return;
  }
  origin_lookup_ = context_.streams.LookUp(
      StreamId(), service_name_, [this](const OriginFinding& finding) {
        const Ptr keep(this);
        origin_lookup_.reset();
        context_.recorder.OnOriginLookedUp(request_.id, StreamId(), finding);
        if (!finding.origin) {
          Refuse(ErrorKind::kNoServer,
                 "the software version that began the stream is unknown");
        } else if (!BindTo(*finding.origin)) {
          Refuse(ErrorKind::kNoServer,
                 "the route has left the service that began the stream");
        } else {
          StartHere();
        }
      });
}

bool RequestFlow::BindTo(const routing::StreamOrigin& origin) {
  const bool is_on_route = std::ranges::any_of(
      route_->services, [&origin](const routing::WeightedService& service) {
        return service.service == origin.service;
      });
  if (!is_on_route) {
    return false;
  }
  origin_ = origin;
  service_name_ = origin.service;
  service_ = table_->FindService(service_name_);
  placement_->BindTo(origin);
  return true;
}

void RequestFlow::OnStreamBegun(const routing::StreamOrigin& origin) {
  origin_ = origin;
  placement_->BindTo(origin);
  if (route_->resumable) {
    const TimePoint caller_deadline =
        started_at_ + request_.timeout.value_or(route_->timeout);
    const Duration remaining =
        std::max(caller_deadline - context_.loop.Now(), Duration{0}) +
        kCallerDelay;
    context_.streams.OnBegun({StreamId(), origin, remaining});
    if (StreamId() != request_.id) {
      // The caller may name the request that it sent last.
      context_.streams.OnBegun({request_.id, origin, remaining});
    }
  }
  source_.origin = origin;
  TellSource();
}

}  // namespace gentianroute::gateway
