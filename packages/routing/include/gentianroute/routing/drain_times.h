#ifndef GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
#define GENTIANROUTE_ROUTING_DRAIN_TIMES_H_

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief What is known of the end of an answer before its request is taken.
struct AnswerTimes {
  Duration expected{};          ///< usual time until it has been sent in full
  TimePoint deadline = kNever;  ///< it ends by then, whatever its server does
  /// Whether its caller may send the request again, and has no part of the
  /// answer until all of it is there.
  bool may_be_cut = false;
};

/// @brief Times in the shutdown of a daemon that has been told to stop.
struct DrainTimes {
  /// No new requests are expected after this time.
  TimePoint last_expected_request = kNever;
  TimePoint ends_at = kNever;  ///< unfinished requests are aborted at this time

  /// @brief Whether to accept a request that arrives now.
  ///
  /// The load balancer sends new connections for some seconds after the stop
  /// signal, and their requests are all accepted. A later request, on a
  /// connection that was already open, may outlast the daemon and be cut. It is
  /// refused at once, so that another daemon can serve it, unless it ends in
  /// time in the worst case. The usual time of its kind says enough only where
  /// a cut does no harm: a server may be far slower than usual.
  bool CanAccept(TimePoint now, const AnswerTimes& answer) const {
    return now < last_expected_request || answer.deadline <= ends_at ||
           (answer.may_be_cut && UsuallyEnds(now, answer));
  }

  /// @brief Whether a request that has been accepted, and has waited since, may
  /// still be sent to a server. Otherwise it hasn't run, and its caller is told
  /// so.
  bool CanSend(TimePoint now, const AnswerTimes& answer) const {
    return now < last_expected_request || answer.deadline <= ends_at ||
           UsuallyEnds(now, answer);
  }

  /// @brief Whether an answer that takes its usual time ends in the grace.
  bool UsuallyEnds(TimePoint now, const AnswerTimes& answer) const {
    // Queueing and long answers vary by about this factor.
    constexpr int kSafetyFactor = 2;
    return now + answer.expected * kSafetyFactor <= ends_at;
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_DRAIN_TIMES_H_
