#include "gentianroute/loop/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianroute {
namespace {

/// Many times a round trip between regions, and below every time limit of a
/// call, so that a call on a dead connection still has time for another.
constexpr int kUnacknowledgedMilliseconds = 1500;
/// An idle connection is probed: silent for 1 s, then two probes 1 s apart.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbes = 2;

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

void EndWhenSilent(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            kUnacknowledgedMilliseconds);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace gentianroute
