#ifndef GENTIANROUTE_ROUTING_SERVER_CHOICE_H_
#define GENTIANROUTE_ROUTING_SERVER_CHOICE_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/placed_bytes.h"
#include "gentianroute/routing/placement.h"
#include "gentianroute/routing/prompt.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/service_time_estimate.h"
#include "gentianroute/routing/topology.h"

namespace gentianroute::routing {

/// @brief A chosen server and its score, which is logged.
struct ServerChoice {
  ServerPtr server;  ///< null if no server can be used
  double score_ms = 0;
  PlacementCounts verdicts{};  ///< on the open servers
  /// Time of an event there as a multiple of the average; 1 if unknown.
  double pace = 1;
};

/// @brief Chooses the server of a plain service with the shortest estimated
/// answer time.
///
/// Accounts for load spikes, and for servers that slow down or fail a share of
/// their requests while their health check passes.
/// @param placement servers that it does not accept are not chosen
/// @param tried ids of servers that this request has already been sent to
ServerChoice ChoosePlainServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               const Placement& placement,
                               std::span<const std::string> tried,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology);

/// @brief Time of a new call at a plain server, including its wait for a slot,
/// as a multiple of the service time.
double WavesAt(const Server& server);

/// @brief Chooses the model server with the shortest estimated time to the
/// first event.
///
/// Requests about one subject share most of their prompt. All daemons rank the
/// servers for a subject by the same rendezvous hash, so that its requests
/// reach the same server, its home, without coordination, and hit that server's
/// prompt cache. Queued prompts count against a server with the time that their
/// prefill takes, and a slow server with the time by which it prolongs the
/// stream.
/// @param placement servers that it does not accept are not chosen
/// @param inputs stage results that the server has to fetch
ServerChoice ChooseModelServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               const Placement& placement,
                               std::span<const std::string> tried,
                               const Prompt& prompt,
                               std::span<const PlacedBytes> inputs,
                               const ModelCapacity& capacity,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_CHOICE_H_
