#ifndef GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
#define GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_

namespace gentianroute {

/// @brief Ends a TCP connection that has gone silent without a reset.
///
/// Something between two ends can lose track of a connection: what is sent on
/// it then waits for ever, while new connections work. Unacknowledged bytes and
/// unanswered probes end it instead, within a few seconds.
void EnableDeadPeerDetection(int descriptor);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
