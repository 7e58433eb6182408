#ifndef GENTIANROUTE_ROUTING_SERVER_BACKOFF_H_
#define GENTIANROUTE_ROUTING_SERVER_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Keeps this daemon from sending anything to a server for the time that
/// the server has asked for.
///
/// A server asks all its daemons within moments, so they would all come back
/// within moments too. Each returns at a time of its own, and with single trial
/// requests until the server has answered one.
class ServerBackoff {
 public:
  /// Time between two trial requests.
  static constexpr Duration kTrialInterval = std::chrono::milliseconds(200);
  /// Most by which a return is delayed, as a share of the time asked for.
  static constexpr double kMaxSpread = 0.25;

  /// @brief Records that the server wants no more requests for a time. The
  /// latest end counts.
  /// @param spread place of this daemon among those that return, 0 to 1
  void OnAsked(TimePoint now, Duration time, double spread) {
    const Duration delay = FromSeconds(Seconds(time) * kMaxSpread * spread);
    until_ = std::max(until_, now + time + delay);
    on_trial_ = true;
  }
  void OnSent(TimePoint now) { last_sent_ = now; }
  /// @brief Records an answer without a backoff.
  /// @param sent_at time of its request; one from before the end says nothing
  void OnAccepted(TimePoint sent_at) {
    if (sent_at >= until_) {
      on_trial_ = false;
    }
  }

  /// @brief Time until the next request may be sent; zero if one may be sent
  /// now.
  Duration TimeLeft(TimePoint now) const {
    const TimePoint next =
        on_trial_ ? std::max(until_, last_sent_ + kTrialInterval) : now;
    return std::max(next - now, Duration{0});
  }
  bool MaySend(TimePoint now) const { return TimeLeft(now) == Duration{0}; }

 private:
  bool on_trial_ = false;  ///< no answer has followed the last backoff
  TimePoint until_{};
  TimePoint last_sent_{};
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_BACKOFF_H_
