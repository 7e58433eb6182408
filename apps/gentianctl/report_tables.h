#ifndef GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_
#define GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_

#include <string>
#include <vector>

#include "report_merge.h"

namespace gentianroute::ctl {

/// @brief One table of the report, for the terminal and the HTML page.
struct ReportTable {
  std::string title;
  std::vector<std::vector<std::string>> rows;  ///< the first is the header
};

/// @brief The tables of the report, in the order of output.
/// @param merged from MergeReports()
std::vector<ReportTable> ReportTables(const json& merged);

/// @brief Explains the target and the time that the figures cover.
std::string ReportSummary(const json& merged);

/// @brief The report as one HTML page without external resources.
std::string ReportPage(const json& merged);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_
