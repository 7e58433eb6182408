#ifndef GENTIANROUTE_TESTS_SOAK_FAULT_PROXY_H_
#define GENTIANROUTE_TESTS_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::soak {

/// @brief TCP proxy on loopback that can impair the link to its upstream.
class FaultProxy {
 public:
  enum class Mode : std::uint8_t {
    kPass,
    kDelayed,    ///< data arrives `delay` later, both ways
    kSilent,     ///< data is held back, both ways, until the mode ends
    kOneWayCut,  ///< only the upstream's data is held back
    kRefusing,   ///< each connection is closed at once
  };

  FaultProxy(EventLoop& loop, std::uint16_t upstream_port);
  ~FaultProxy();

  std::uint16_t port() const { return listener_->port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  void SetMode(Mode mode, Duration delay = Duration{0});
  /// @brief Closes all connections.
  void Reset();
  /// @brief Permanently stops forwarding on the connections that are open now;
  /// new ones work.
  void SilenceOpenConnections();
  bool impaired() const { return mode_ != Mode::kPass; }

 private:
  class Connection;

  void Sweep();

  EventLoop& loop_;
  std::uint16_t upstream_port_;
  Mode mode_ = Mode::kPass;
  Duration delay_{0};
  std::list<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<EventLoop::Listener> listener_;
  TimerId sweep_timer_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_FAULT_PROXY_H_
