#ifndef GENTIANROUTE_ENTRY_REPORT_H_
#define GENTIANROUTE_ENTRY_REPORT_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "gentianroute/decision/server_table.h"
#include "gentianroute/decision/usage_ledger.h"
#include "gentianroute/observe/request_metrics.h"
#include "gentianroute/observe/service_level.h"

namespace gentianroute {

/// @brief Attainment of each service, as counts, so that the reports of several
/// daemons can be added up.
nlohmann::json ServicesReport(const ServiceLevels& levels, TimePoint now);

/// @brief Calls, units, billed bytes and cost of each stage.
nlohmann::json StagesReport(const RequestMetrics& metrics);

/// @brief Servers that are sent no calls now, with the reason.
nlohmann::json UnavailableServersReport(const ServerTable& servers,
                                        TimePoint now);

/// @brief All known servers, with their load and their calls and failures.
nlohmann::json ServersReport(const ServerTable& servers, TimePoint now);

/// @brief The subscribers with the highest usage.
nlohmann::json HeaviestReport(const std::vector<UsageRecord>& heaviest);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_REPORT_H_
