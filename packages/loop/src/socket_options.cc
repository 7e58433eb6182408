#include "gentianroute/loop/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianroute {
namespace {

/// An idle connection is probed after 1 s without traffic, then each second.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

void EnableDeadPeerDetection(int descriptor, Duration timeout) {
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout / std::chrono::milliseconds(1)));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
}

}  // namespace gentianroute
