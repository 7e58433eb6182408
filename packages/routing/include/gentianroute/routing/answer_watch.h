#ifndef GENTIANROUTE_ROUTING_ANSWER_WATCH_H_
#define GENTIANROUTE_ROUTING_ANSWER_WATCH_H_

#include <algorithm>
#include <chrono>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// A repeatable request is overdue after this multiple of its expected time.
/// Waiting for a server that is less slow than this costs less than a second
/// prefill at another server.
inline constexpr double kOverdueFactor = 3.0;

/// @brief How long a repeatable request waits for the first byte of its answer
/// before it is sent to another server.
///
/// This is the only way to detect a server that became unreachable without
/// closing its connections. The wait is at least half of the target: up to then
/// the answer can still be on time, and a second attempt would only add cost.
/// @param expected expected time to the first byte, including the round trip
inline Duration FirstByteOverdueAfter(const Route& route, Duration expected) {
  return std::max(route.target / 2, std::chrono::duration_cast<Duration>(
                                        expected * kOverdueFactor));
}

/// @brief How long a started stream may pause while nothing arrives from its
/// server on any connection.
///
/// Longer than the pauses of a server that prefills long prompts between
/// events, which last some tenths of a second, and shorter than callers wait.
inline Duration StreamSilenceTimeout(const Route& route) {
  constexpr Duration kMinTimeout = std::chrono::seconds(1);
  constexpr int kPauseFactor = 4;
  return std::max(kMinTimeout, route.pause_target * kPauseFactor);
}

/// After a pause of the daemon itself, timers are due while its sockets still
/// hold unread data, and every server would appear silent. Pending data is read
/// within this time before a server is considered silent.
inline constexpr Duration kSocketReadGrace = std::chrono::milliseconds(50);

/// @brief Records an overdue answer in the history of its server.
///
/// A server that has sent anything to any caller since the request was sent
/// only counts as slow. One that has not may be down, and is avoided for a
/// while.
/// @param sent when the request was sent
inline void RecordOverdue(TimePoint now, TimePoint sent, Server& server) {
  if (server.HasReceivedSince(sent)) {
    server.history().OnAnswer(now, true, kOverdueFactor);
  } else {
    server.history().OnConnectionFailure(now);
  }
}

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_ANSWER_WATCH_H_
