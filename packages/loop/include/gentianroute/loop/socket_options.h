#ifndef GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
#define GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_

namespace gentianroute {

/// @brief Makes the kernel close a TCP connection whose peer stops responding.
///
/// A middlebox can lose the state of a connection without resetting it: data
/// sent on it is then never acknowledged, while new connections work. With a
/// user timeout and keepalive probes the connection fails within a few seconds.
void EnableDeadPeerDetection(int descriptor);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_SOCKET_OPTIONS_H_
