#ifndef GENTIANROUTE_GATEWAY_GATEWAY_H_
#define GENTIANROUTE_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>

#include "gentianroute/gateway/settings.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"

namespace gentianroute::gateway {

/// @brief A gateway daemon, which routes callers' requests to backend servers.
class Gateway {
 public:
  /// @throws std::runtime_error if an address can't be bound
  Gateway(EventLoop& loop,
          GatewaySettings settings,
          RelayClient& client,
          const Translator& translator,
          Store& store);
  ~Gateway();

  /// @brief Shuts the daemon down: accepts requests until the load balancer has
  /// stopped sending them, waits for the accepted ones to end, then calls
  /// `done`. Those that outlast the drain grace are ended with an error.
  void Drain(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_GATEWAY_H_
