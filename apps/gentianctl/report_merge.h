#ifndef GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_

#include <string>
#include <vector>

#include "failure.h"

namespace gentianroute::ctl {

/// @brief Sums the reports of several daemons and computes attainment, burn
/// rates and each stage's share of the cost.
/// @param reports at least one response of /v1/report; of two with the same
/// daemon name, the second is ignored
/// @param unreachable addresses of daemons that did not answer
json MergeReports(const std::vector<json>& reports,
                  const std::vector<std::string>& unreachable);

/// @brief Formats the length of a window, like `5 min` or `3 d`.
std::string FormatWindow(std::int64_t seconds);

/// @brief Formats a share as a percentage with two decimals.
std::string FormatPercent(double share);

/// @brief Formats micro-euros as euros with six decimals.
std::string FormatEuros(std::int64_t micros);

/// @brief Formats a number with two decimals.
std::string FormatTwoDecimals(double value);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_REPORT_MERGE_H_
