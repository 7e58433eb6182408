#ifndef GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_

#include <string>
#include <vector>

#include "failure.h"

namespace gentianroute::ctl {

/// @brief Adds the reports of several daemons up, and works out attainment,
/// burn rates and each stage's share of the cost.
/// @param reports answers of /v1/report; a daemon that stands twice counts once
/// @param unreachable daemons that were asked and did not answer
json MergeReports(const std::vector<json>& reports,
                  const std::vector<std::string>& unreachable);

/// @brief A window's name, like `5 min` or `3 d`.
std::string FormatWindow(std::int64_t seconds);

/// @brief A share as a percentage with two decimals.
std::string FormatPercent(double share);

/// @brief Micro-euros as euros.
std::string FormatEuros(std::int64_t micros);

/// @brief A number with two decimals.
std::string FormatTwoDecimals(double value);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_
