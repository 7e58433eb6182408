#ifndef GENTIANROUTE_GATEWAY_SETTINGS_H_
#define GENTIANROUTE_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/routing/cold_server_limiter.h"

namespace gentianroute::gateway {

/// @brief Settings of one daemon.
struct GatewaySettings {
  std::string name;
  std::string data_centre;
  /// Regions, by data centre.
  std::map<std::string, std::string, std::less<>> regions;
  Endpoint callers;    ///< listens for callers
  Endpoint readiness;  ///< listens for the load balancer
  Endpoint peers;      ///< listens for other daemons; TCP and UDP
  Endpoint metrics;    ///< listens for the collector of the metrics
  Endpoint store;      ///< the platform's store
  Duration drain_grace = std::chrono::seconds(8);  ///< after the stop signal
  /// Maximum time until a change in the store takes effect in this daemon.
  Duration max_propagation_time = std::chrono::milliseconds(2500);
  /// Time for which the store keeps the entry of a server that is silent.
  Duration server_entry_lifetime = std::chrono::milliseconds(3600);
  /// Whether the whole fleet starts for the first time.
  bool first_start = false;
  double processor_share = 1;  ///< number of cores that this daemon may use
  /// Memory that the process may use; 0: not limited.
  std::size_t memory_bytes = 0;
  /// Maximum retries per request to a service, over all daemons.
  double retry_ratio = 0.2;
  /// Additional retries in each window of 10 s, over all daemons.
  double retry_slack = 50;
  /// Whether stage pools learn how fast their queues drain, and refuse at once
  /// what can't be done in time. Otherwise they assume full calls.
  bool learns_queue_drain = false;
  routing::RateTolerance cold_server_tolerance;
  /// Tolerance of the limit of requests that a server names.
  routing::RateTolerance request_limit_tolerance{1.5, 5,
                                                 std::chrono::seconds(4)};

  /// @brief Time after which a crash that the host list has not confirmed was
  /// none.
  Duration CrashConfirmationTime() const {
    return server_entry_lifetime + max_propagation_time;
  }
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_SETTINGS_H_
