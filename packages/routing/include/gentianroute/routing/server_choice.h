#ifndef GENTIANROUTE_ROUTING_SERVER_CHOICE_H_
#define GENTIANROUTE_ROUTING_SERVER_CHOICE_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/placed_bytes.h"
#include "gentianroute/routing/prompt.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/service_time_estimate.h"
#include "gentianroute/routing/topology.h"

namespace gentianroute::routing {

/// @brief Why a server was taken, for the log.
struct ServerChoice {
  ServerPtr server;  ///< null if none may be used
  double score_ms = 0;
};

/// @brief Picks the server of a plain service that should answer first.
///
/// Answers for spikes at one service and for servers that turn slow or fail
/// part of their requests while their health check passes.
/// @param tried ids of servers that this request has been sent to
ServerChoice ChoosePlainServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               std::span<const std::string> tried,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology);

/// @brief How many calls' work a call at a plain server waits for, its
/// own_prefill included, if it goes there now.
double WavesAt(const Server& server);

/// @brief Picks the model server that should send its first event first.
///
/// Requests about one subject share most of their prompt. Every daemon ranks
/// the servers for a subject by the same hash, so they send it to the same one
/// without asking each other; what that server has prefill_queue is not
/// prefill_queue again. A server with a queue of prompts loses by the time that
/// the queue takes.
/// @param inputs results of stages that the server has to fetch
ServerChoice ChooseModelServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               std::span<const std::string> tried,
                               const Prompt& prompt,
                               std::span<const PlacedBytes> inputs,
                               const ModelCapacity& capacity,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_CHOICE_H_
