#ifndef GENTIANROUTE_LOOP_RPC_H_
#define GENTIANROUTE_LOOP_RPC_H_

#include <capnp/capability.h>
#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief Serves one Cap'n Proto bootstrap capability to every connection.
///
/// Must be destroyed before the event loop.
class RpcServer {
 public:
  /// @throws std::runtime_error if the address can't be bound
  RpcServer(EventLoop& loop,
            std::string_view address,
            std::uint16_t port,
            capnp::Capability::Client bootstrap);
  ~RpcServer();
  std::uint16_t port() const;
  void StopAccepting();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief One connection to the RpcServer of another process.
///
/// It does not reconnect; create a new one after it has broken.
class RpcConnection {
 public:
  /// @param on_broken called at most once, from the event loop
  RpcConnection(EventLoop& loop,
                std::string_view address,
                std::uint16_t port,
                std::function<void()> on_broken);
  ~RpcConnection();

  bool connected() const;
  /// @brief Whether the connection was ever established.
  bool was_connected() const;
  /// @brief The server's bootstrap capability. Calls made while connecting are
  /// queued; calls on a broken connection fail.
  capnp::Capability::Client bootstrap();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RPC_H_
