#ifndef GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_

#include <chrono>

#include "gentianroute/base/time.h"

namespace gentianroute::gateway::detail {

/// Heirs are few, so that their number needs no bound by rate. Five of these
/// are less than a second.
inline constexpr Duration kStandbyInterval = std::chrono::milliseconds(150);
/// Watching is cheap; a silence is noticed so much later than it could be.
inline constexpr Duration kMaxRoundInterval = std::chrono::milliseconds(200);
/// Lost datagrams come two or three in a row now and then; five are a failure.
inline constexpr int kMaxMissedHeartbeats = 5;
/// What all must know at once is told so often, as some datagrams get lost:
/// that a scheduler is lost, that it is not, that a daemon goes.
inline constexpr int kBroadcastRounds = 3;

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_
