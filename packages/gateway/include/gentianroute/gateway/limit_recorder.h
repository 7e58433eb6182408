#ifndef GENTIANROUTE_GATEWAY_LIMIT_RECORDER_H_
#define GENTIANROUTE_GATEWAY_LIMIT_RECORDER_H_

#include <optional>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::gateway {

/// @brief Logs that a server has named another limit, or none any more.
/// @param told_by a peer; empty if the server itself said so
void LogRequestLimit(const routing::Server& server, std::string_view told_by);

/// @brief Logs that the servers of a service are brittle, or no longer.
/// @param bearable_rejections per second and server; empty: not brittle
/// @param told_by a peer; empty if a server itself said so
void LogBrittleService(std::string_view service,
                       std::optional<double> bearable_rejections,
                       std::string_view told_by);

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_LIMIT_RECORDER_H_
