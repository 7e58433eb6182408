#ifndef GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_

#include <chrono>

#include "gentianroute/base/time.h"

namespace gentianroute::gateway::detail {

/// Interval of heartbeats to standbys. There are few of them, so that their
/// heartbeats need no rate limit. Five intervals are less than a second.
inline constexpr Duration kStandbyInterval = std::chrono::milliseconds(150);
/// Maximum time between two rounds; a loss is detected at most this much late.
inline constexpr Duration kMaxRoundInterval = std::chrono::milliseconds(200);
/// Missed heartbeats after which a peer is lost. Networks occasionally drop two
/// or three datagrams in a row.
inline constexpr int kMaxMissedHeartbeats = 5;
/// Consecutive rounds that go to all peers, since some datagrams get lost. They
/// report the loss of a scheduler, refute a loss, or announce a daemon that
/// leaves.
inline constexpr int kBroadcastRounds = 3;

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_MEMBERSHIP_TIMES_H_
