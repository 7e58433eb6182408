#ifndef GENTIANROUTE_ENTRY_CONFIG_REPORT_H_
#define GENTIANROUTE_ENTRY_CONFIG_REPORT_H_

#include <nlohmann/json.hpp>

#include "gentianroute/decision/config_follower.h"

namespace gentianroute {

/// @brief Returns all current documents, for the operators' interface.
nlohmann::json DocumentsReport(const ConfigFollower& follower);

/// @brief Returns the revisions that are kept, oldest first.
nlohmann::json HistoryReport(const ConfigFollower& follower);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CONFIG_REPORT_H_
