#ifndef GENTIANROUTE_LOOP_DATAGRAM_SOCKET_H_
#define GENTIANROUTE_LOOP_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief UDP socket for IPv4, for state that each message replaces in full.
class DatagramSocket {
 public:
  using Receiver = std::function<void(std::span<const std::byte>)>;

  /// @throws std::runtime_error if the address can't be bound
  DatagramSocket(EventLoop& loop,
                 std::string_view address,
                 std::uint16_t port,
                 Receiver receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// @brief Sends one datagram. Errors and losses are not reported.
  void Send(std::string_view address,
            std::uint16_t port,
            std::span<const std::byte> message);

 private:
  static void OnReadable(st_h2o_socket_t* socket, const char* error);

  Receiver receiver_;
  int descriptor_ = -1;
  st_h2o_socket_t* socket_ = nullptr;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_DATAGRAM_SOCKET_H_
