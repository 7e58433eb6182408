#ifndef GENTIANROUTE_GATEWAY_REACH_MONITOR_H_
#define GENTIANROUTE_GATEWAY_REACH_MONITOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/routing/evacuations.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/server_reach.h"

namespace gentianroute::gateway {

/// @brief Probes backend servers to find out whether this daemon is cut off
/// from all of them. `routing::ServerReach` decides; this class connects.
class ReachMonitor {
 public:
  using OnChanged = std::function<void(bool cut_off)>;

  /// @param evacuations data centres whose servers get no probe
  ReachMonitor(EventLoop& loop,
               RelayClient& client,
               routing::ServerDirectory& servers,
               const routing::Evacuations& evacuations);
  ~ReachMonitor();

  /// @brief Sets what is called when is_cut_off() has changed.
  void SetOnChanged(OnChanged on_changed) {
    on_changed_ = std::move(on_changed);
  }
  bool is_cut_off() const { return reach_.is_cut_off(); }
  bool is_probing() const { return reach_.is_probing(); }

  /// @brief Records what became of a call to a server, see
  /// routing::ServerReach.
  void OnNotConnected(std::string_view server);
  void OnNoAnswer(std::string_view server);
  void OnAnswer() { reach_.OnAnswer(); }

 private:
  struct Round;

  void ProbeIfNeeded();
  std::vector<routing::ServerPtr> ServersInRandomOrder();
  void OnProbeEnded(Round& round, bool connected);

  EventLoop& loop_;
  RelayClient& client_;
  routing::ServerDirectory& servers_;
  const routing::Evacuations& evacuations_;
  routing::ServerReach reach_;
  OnChanged on_changed_;
  std::mt19937_64 random_;
  std::shared_ptr<Round> round_;  ///< the last one; null before the first
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REACH_MONITOR_H_
