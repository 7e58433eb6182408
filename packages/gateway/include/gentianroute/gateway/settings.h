#ifndef GENTIANROUTE_GATEWAY_SETTINGS_H_
#define GENTIANROUTE_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/relay_client.h"

namespace gentianroute::gateway {

/// @brief What one daemon has to know before it starts.
struct GatewaySettings {
  std::string name;
  std::string data_centre;
  /// Region of each data centre.
  std::map<std::string, std::string, std::less<>> regions;
  Endpoint callers;    ///< where callers connect
  Endpoint readiness;  ///< where the balancer asks
  Endpoint peers;      ///< where other daemons connect; TCP and UDP
  Endpoint metrics;
  Endpoint store;
  Duration drain_grace = std::chrono::seconds(8);  ///< from the stop signal
  /// Time within which a change in the store has to hold here.
  Duration max_change_delay = std::chrono::milliseconds(2500);
  double processor_share = 1;  ///< cores that this daemon may use
  double retry_ratio = 0.2;    ///< of a service's requests, of all daemons
  double retry_slack = 50;     ///< more, in each window of 10 s, of all daemons
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_SETTINGS_H_
