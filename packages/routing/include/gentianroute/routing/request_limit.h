#ifndef GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_
#define GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_

#include <optional>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/named_value.h"
#include "gentianroute/routing/request_pacing.h"

namespace gentianroute::routing {

/// @brief The rate of requests that one server takes from all daemons together,
/// for as long as its answers name it.
class RequestLimit {
 public:
  /// @brief See NamedValue; the value is the number of requests per second.
  bool OnAnswer(TimePoint now,
                TimePoint sent_at,
                std::optional<double> requests_per_second) {
    const bool changed = named_.OnAnswer(now, sent_at, requests_per_second);
    PaceFromBegin();
    return changed;
  }
  bool OnPeerReport(TimePoint now, const NamedValueReport& report) {
    const bool changed = named_.OnPeerReport(now, report);
    PaceFromBegin();
    return changed;
  }

  /// @brief Requests per second; empty if the server names no limit.
  const std::optional<double>& rate() const { return named_.value(); }
  std::optional<NamedValueReport> Report(TimePoint now) const {
    return named_.Report(now);
  }

  /// @brief See RequestPacing.
  bool MaySend(TimePoint now, Duration interval) const {
    return pacing_.MaySend(now, interval);
  }
  void OnSent(TimePoint now) { pacing_.OnSent(now); }

 private:
  void PaceFromBegin() { pacing_.OnLimited(named_.named_since()); }

  NamedValue named_;
  RequestPacing pacing_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_
