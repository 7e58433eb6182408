#ifndef GENTIANROUTE_ROUTING_ANSWER_WATCH_H_
#define GENTIANROUTE_ROUTING_ANSWER_WATCH_H_

#include <algorithm>
#include <chrono>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// A repeatable request is overdue after this many times the time that its
/// answer should take. A server that is slow by less costs less than a prompt
/// read again elsewhere.
inline constexpr double kOverdueFactor = 3.0;

/// @brief How long a repeatable request waits for the first part of its answer
/// before it goes to another server.
///
/// A server that went dark shows in no other way. Half of the target is always
/// waited: sooner, another server would not save the answer but only cost.
/// @param expected time that the answer should take, its way there too
inline Duration FirstByteOverdueAfter(const Route& route, Duration expected) {
  return std::max(route.target / 2, std::chrono::duration_cast<Duration>(
                                        expected * kOverdueFactor));
}

/// @brief How long a stream that has begun may be still while its server is
/// not heard on any connection.
///
/// Longer than the pauses of a server that reads long prompts between its
/// events, which are tenths of a second; shorter than callers wait.
inline Duration StreamSilenceTimeout(const Route& route) {
  constexpr Duration kMinTimeout = std::chrono::seconds(1);
  constexpr int kPauseFactor = 4;
  return std::max(kMinTimeout, route.pause_target * kPauseFactor);
}

/// A daemon that was itself paused wakes with its timers due and its sockets
/// unread, and every server would seem silent. What waits in the sockets is
/// read within this time; only then is a server judged.
inline constexpr Duration kSocketReadGrace = std::chrono::milliseconds(50);

/// @brief Notes at a server that an answer is overdue.
///
/// Slow is not broken: a server that has sent anything to anybody since the
/// request went there is slow, and only that; one that has not may be gone, and
/// gets no more work for now.
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
