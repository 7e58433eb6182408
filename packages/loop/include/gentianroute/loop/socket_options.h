#ifndef GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
#define GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_

#include <chrono>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief How long a peer may not respond before its connections are closed.
///
/// Once it is set, the kernel's user timeout also decides when keepalive probes
/// give up, whatever their count: at the first probe that is due after it. A
/// wait for an answer, in which only probes are sent, thus ends up to a second
/// later.
struct DeadPeerTimeout {
  /// Longer than a pause that a sound server may make, plus the time until the
  /// first probe: the probe may be sent just before the pause ends.
  static constexpr Duration kServer = std::chrono::milliseconds(3000);
  /// Shorter, as another daemon can take over at once.
  static constexpr Duration kDaemon = std::chrono::milliseconds(1500);
};

/// @brief Makes the kernel close a TCP connection whose peer stops responding.
///
/// A middlebox can lose the state of a connection without resetting it: data
/// sent on it is then never acknowledged, while new connections work. With a
/// user timeout and keepalive probes the connection fails within a few seconds.
void EnableDeadPeerDetection(int descriptor, Duration timeout);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
