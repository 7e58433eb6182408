#ifndef GENTIANROUTE_GATEWAY_REACH_MONITOR_H_
#define GENTIANROUTE_GATEWAY_REACH_MONITOR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/routing/evacuations.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/server_reach.h"

namespace gentianroute::gateway {

/// @brief Probes backend servers to find out which services this daemon is cut
/// off from. `routing::ServerReach` decides; this class connects.
class ReachMonitor {
 public:
  /// @param service empty: all services
  using OnChanged = std::function<void(std::string_view service, bool cut_off)>;

  /// @param evacuations data centres whose servers get no probe
  ReachMonitor(EventLoop& loop,
               RelayClient& client,
               routing::ServerDirectory& servers,
               const routing::Evacuations& evacuations);
  ~ReachMonitor();

  /// @brief Sets what is called when IsCutOff() has changed.
  void SetOnChanged(OnChanged on_changed) {
    on_changed_ = std::move(on_changed);
  }
  /// @brief Whether this daemon reaches no server at all.
  bool is_cut_off() const { return all_.reach.is_cut_off(); }
  /// @brief Whether this daemon reaches few of the servers of a service, or
  /// none.
  bool IsCutOff(std::string_view service) const;
  /// @brief Whether it will be known soon if this daemon is cut off from a
  /// service.
  bool IsProbing(std::string_view service) const;
  /// @brief Returns the services that it is cut off from, in ascending order.
  std::vector<std::string> Unreached() const;

  /// @brief Records what became of a call to a server, see
  /// routing::ServerReach.
  void OnNotConnected(const routing::ServerRecord& server);
  void OnNoAnswer(const routing::ServerRecord& server);
  void OnAnswer(const routing::ServerRecord& server);

 private:
  struct Round;
  /// Servers that are probed together.
  struct Group {
    routing::ServerReach reach;
    std::string service;           ///< empty: all services
    std::shared_ptr<Round> round;  ///< the last one; null before the first
  };

  using Failure = void (routing::ServerReach::*)(TimePoint now,
                                                 std::string_view server);

  void OnFailure(const routing::ServerRecord& server, Failure failure);
  Group& GroupOf(std::string_view service);
  const Group* FindGroup(std::string_view service) const;
  void ProbeAllIfNeeded();
  void ProbeIfNeeded(Group& group);
  std::vector<routing::ServerPtr> ServersInRandomOrder(const Group& group);
  void OnProbeEnded(Round& round, bool connected);

  EventLoop& loop_;
  RelayClient& client_;
  routing::ServerDirectory& servers_;
  const routing::Evacuations& evacuations_;
  Group all_{routing::ServerReach(routing::ServerReach::Criterion::kAny),
             {},
             nullptr};
  std::map<std::string, Group, std::less<>> groups_;  ///< by service
  OnChanged on_changed_;
  std::mt19937_64 random_;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REACH_MONITOR_H_
