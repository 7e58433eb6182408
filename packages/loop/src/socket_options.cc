#include "gentianroute/loop/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianroute {
namespace {

/// Many times a round trip between regions, and below every time limit of a
/// call, so that a call on a dead connection still has time for another.
constexpr int kUserTimeoutMilliseconds = 1500;
/// An idle connection is probed: silent for 1 s, then two probes 1 s apart.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kMaxKeepaliveProbes = 2;

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

void EnableDeadPeerDetection(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            kUserTimeoutMilliseconds);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxKeepaliveProbes);
}

}  // namespace gentianroute
