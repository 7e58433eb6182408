#ifndef GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_
#define GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_

#include <chrono>
#include <optional>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/request_pacing.h"

namespace gentianroute::routing {

/// @brief What one server says about the requests that it takes, as one daemon
/// tells others.
struct RequestLimitReport {
  std::optional<double> requests_per_second;  ///< empty: the limit has ended
  Duration age{};
};

/// @brief The rate of requests that one server takes from all daemons together,
/// for as long as its answers name it.
class RequestLimit {
 public:
  /// Time for which peers are told that a limit has ended.
  static constexpr Duration kEndReportTime = std::chrono::seconds(10);

  /// @brief Records what an answer says.
  /// @param sent_at time of its request: an answer to a request from before the
  /// limit doesn't end it
  /// @return whether the limit has changed
  bool OnAnswer(TimePoint now,
                TimePoint sent_at,
                std::optional<double> requests_per_second) {
    if (!requests_per_second && (!rate_ || sent_at < pacing_.limited_since())) {
      return false;
    }
    seen_here_ = true;
    return Set(now, now, requests_per_second);
  }
  /// @brief Records what a peer says. Older news than the known ones are
  /// ignored.
  /// @return whether the limit has changed
  bool OnPeerReport(TimePoint now, const RequestLimitReport& report) {
    const TimePoint observed_at = now - report.age;
    if (observed_at <= observed_at_) {
      return false;
    }
    seen_here_ = false;
    return Set(now, observed_at, report.requests_per_second);
  }

  /// @brief Requests per second; empty if the server names no limit.
  const std::optional<double>& rate() const { return rate_; }
  /// @brief What to tell peers; empty if this daemon has not observed it or it
  /// is no news.
  std::optional<RequestLimitReport> Report(TimePoint now) const {
    const bool is_news = rate_ || now - observed_at_ < kEndReportTime;
    if (!seen_here_ || !is_news) {
      return std::nullopt;
    }
    return RequestLimitReport{rate_, now - observed_at_};
  }

  /// @brief See RequestPacing.
  bool MaySend(TimePoint now, Duration interval) const {
    return pacing_.MaySend(now, interval);
  }
  void OnSent(TimePoint now) { pacing_.OnSent(now); }

 private:
  bool Set(TimePoint now,
           TimePoint observed_at,
           std::optional<double> requests_per_second) {
    if (!rate_ && requests_per_second) {
      pacing_.OnLimited(now);
    }
    observed_at_ = observed_at;
    const bool changed = rate_ != requests_per_second;
    rate_ = requests_per_second;
    return changed;
  }

  std::optional<double> rate_;
  bool seen_here_ = false;  ///< the last news come from an answer, not a peer
  TimePoint observed_at_{};
  RequestPacing pacing_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_REQUEST_LIMIT_H_
