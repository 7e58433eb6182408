#ifndef GENTIANROUTE_ROUTING_SERVER_PACE_H_
#define GENTIANROUTE_ROUTING_SERVER_PACE_H_

#include <algorithm>
#include <cmath>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Sum of observations of the time that a server takes for an event of a
/// stream.
struct PaceSample {
  double events = 0;   ///< number of events observed, which decays
  double log_sum = 0;  ///< logarithm of the time of an event in ms, summed over
                       ///< these events

  PaceSample& operator+=(const PaceSample& other) {
    events += other.events;
    log_sum += other.log_sum;
    return *this;
  }
  PaceSample& operator-=(const PaceSample& other) {
    events -= other.events;
    log_sum -= other.log_sum;
    return *this;
  }
  PaceSample ScaledBy(double factor) const {
    return {events * factor, log_sum * factor};
  }
};

/// @brief How fast a model server generates, compared to the others of its
/// service.
///
/// Servers of one service run on different hardware. One daemon of a large
/// deployment sends each of them a request every few seconds, too few to tell a
/// slow server from a busy one. Daemons therefore exchange their observations,
/// and all add them up.
class ServerPace {
 public:
  /// Time in which an observation loses half of its weight.
  static constexpr double kHalfLifeSeconds = 30.0;
  /// Weight of the assumption that a server is as fast as the average, in
  /// events. A server with few observations is close to the average.
  static constexpr double kPriorEvents = 16.0;
  /// Bounds of Factor().
  static constexpr double kMinFactor = 0.33;
  static constexpr double kMaxFactor = 3.0;

  /// @brief Records that a stream's last `events` events took `taken`.
  void OnEvents(TimePoint now, double events, Duration taken) {
    constexpr double kMinEventMs = 0.1;
    const double event_ms = std::max(kMinEventMs, Milliseconds(taken) / events);
    own_ = Own(now);
    own_ += {events, events * std::log(event_ms)};
    updated_at_ = now;
  }
  /// @brief Own observations, to be told to the peers.
  PaceSample Own(TimePoint now) const {
    if (own_.events <= 0) {
      // Most servers of a large service are never observed by this daemon.
      return {};
    }
    return own_.ScaledBy(
        std::exp2(-Seconds(now - updated_at_) / kHalfLifeSeconds));
  }
  /// @brief Sum of the samples that the peers reported last.
  PaceSample& peers() { return peers_; }
  /// @brief Observations of all daemons.
  PaceSample All(TimePoint now) const {
    PaceSample all = Own(now);
    all += peers_;
    return all;
  }
  /// @brief Time of an event as a multiple of the average.
  /// @param average observations of all servers of the service
  static double Factor(const PaceSample& server, const PaceSample& average) {
    if (server.events <= 0 || average.events <= 0) {
      return 1.0;
    }
    const double mean = average.log_sum / average.events;
    const double deviation = (server.log_sum - mean * server.events) /
                             (server.events + kPriorEvents);
    return std::clamp(std::exp(deviation), kMinFactor, kMaxFactor);
  }

 private:
  PaceSample own_;
  PaceSample peers_;
  TimePoint updated_at_{};
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_PACE_H_
