#ifndef GENTIANROUTE_TESTS_SOAK_FAULT_PROXY_H_
#define GENTIANROUTE_TESTS_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::soak {

/// @brief A link on loopback that can be harmed.
class FaultProxy {
 public:
  enum class Mode : std::uint8_t {
    kPass,
    kDelayed,    ///< bytes arrive `delay` later, both ways
    kSilent,     ///< bytes wait, both ways, until the mode ends
    kOneWayCut,  ///< what the far end says waits; it hears all
    kRefusing,   ///< each connection is closed at once
  };

  FaultProxy(EventLoop& loop, std::uint16_t upstream_port);
  ~FaultProxy();

  std::uint16_t port() const { return listener_->port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  void SetMode(Mode mode, Duration delay = Duration{0});
  /// @brief Closes all connections.
  void Reset();
  /// @brief Connections that are open now pass nothing any more, for good; new
  /// ones work.
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
