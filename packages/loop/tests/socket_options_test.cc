#include "gentianroute/loop/socket_options.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

int OptionOf(int descriptor, int name) {
  int value = 0;
  socklen_t length = sizeof(value);
  cr_assert_eq(getsockopt(descriptor, IPPROTO_TCP, name, &value, &length), 0);
  return value;
}

/// When the kernel closes a connection that has been idle, according to
/// tcp(7): at the first probe that is due once the user timeout has passed.
Duration GivesUpAfter(int descriptor) {
  const Duration user_timeout =
      milliseconds(OptionOf(descriptor, TCP_USER_TIMEOUT));
  Duration due = seconds(OptionOf(descriptor, TCP_KEEPIDLE));
  do {
    due += seconds(OptionOf(descriptor, TCP_KEEPINTVL));
  } while (due < user_timeout);
  return due;
}

}  // namespace

TestSuite(dead_peer_detection);

// Guards against a sound server that is silent for more than a second losing
// the connections that wait for its answers.
Test(dead_peer_detection, server_is_silent_for_a_second_connection_is_kept) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  EnableDeadPeerDetection(descriptor, DeadPeerTimeout::kServer);
  const Duration until_probe = seconds(OptionOf(descriptor, TCP_KEEPIDLE));
  constexpr Duration kSoundSilence = milliseconds(1500);
  cr_assert_gt(GivesUpAfter(descriptor).count(),
               (until_probe + kSoundSilence).count());
  close(descriptor);
}

// Guards against calls between daemons waiting for a dead connection for longer
// than a scheduler takes to be replaced several times.
Test(dead_peer_detection, daemon_is_silent_connection_ends_in_two_seconds) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  EnableDeadPeerDetection(descriptor, DeadPeerTimeout::kDaemon);
  cr_assert_leq(GivesUpAfter(descriptor).count(), Duration(seconds(2)).count());
  close(descriptor);
}
