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

/// @brief Serves one Cap'n Proto capability to every connection.
///
/// Destroy it while the loop is alive.
class RpcServer {
 public:
  /// @throws std::runtime_error if the address can't be used
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

/// @brief One connection to another daemon's RpcServer.
///
/// It does not come back by itself: when it is broken, make a new one.
class RpcConnection {
 public:
  /// @param on_broken called at most once, from the loop
  RpcConnection(EventLoop& loop,
                std::string_view address,
                std::uint16_t port,
                std::function<void()> on_broken);
  ~RpcConnection();

  bool connected() const;
  /// @brief Whether it was ever connected.
  bool was_connected() const;
  /// @brief The far end's capability. Calls on it wait for the connection while
  /// that is being made, and fail once it is broken.
  capnp::Capability::Client bootstrap();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RPC_H_
