#ifndef GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_
#define GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_

#include <string>
#include <vector>

#include "report_merge.h"

namespace gentianroute::ctl {

/// @brief One part of the report, alike for terminal and page.
struct ReportTable {
  std::string title;
  std::vector<std::vector<std::string>> rows;  ///< the first is the heading
};

/// @param merged from MergeReports()
std::vector<ReportTable> ReportTables(const json& merged);

/// @brief One sentence: target, and what the figures reach back to.
std::string ReportSummary(const json& merged);

/// @brief The whole report as one HTML page that needs nothing else.
std::string ReportPage(const json& merged);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_REPORT_TABLES_H_
