#include "gentianroute/loop/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianroute {
namespace {

/// Many times the round-trip time between regions, and shorter than every time
/// limit of a call, so that a call on a dead connection can still be retried.
constexpr int kUserTimeoutMilliseconds = 1500;
/// An idle connection is probed after 1 s without traffic, twice, 1 s apart.
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
