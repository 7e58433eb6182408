#include <fstream>

#include "commands.h"
#include "report_tables.h"
#include "text_table.h"

namespace gentianroute::ctl {
namespace {

/// Merges the reports of the daemons that answer and lists the others.
/// @return Failure with kExitUnreachable if none answers
leaf::result<json> CollectReports(const CommonOptions& common) {
  std::vector<DaemonAddress> daemons = {common.daemon};
  daemons.insert(daemons.end(), common.other_daemons.begin(),
                 common.other_daemons.end());
  std::vector<json> reports;
  std::vector<std::string> unreachable;
  for (const DaemonAddress& daemon : daemons) {
    const HttpResult result = CallDaemon(daemon, "GET", "/v1/report", {});
    json report = json::parse(result.body, nullptr, false);
    if (result.complete && report.is_object() && report.contains("services")) {
      reports.push_back(std::move(report));
    } else {
      unreachable.push_back(daemon.Text());
    }
  }
  if (reports.empty()) {
    return leaf::new_error(Failure{kExitUnreachable, "no daemon answered"});
  }
  return MergeReports(reports, unreachable);
}

std::string ReportText(const json& merged) {
  std::string text = ReportSummary(merged) + "\n";
  for (const ReportTable& table : ReportTables(merged)) {
    text += "\n" + table.title + "\n" +
            (table.rows.size() > 1 ? TextTable(table.rows) : "  none\n");
  }
  return text;
}

leaf::result<void> WriteReportPage(const std::string& path,
                                   const json& merged) {
  std::ofstream file(path);
  file << ReportPage(merged);
  file.close();
  if (!file) {
    return leaf::new_error(Failure{kExitInvalid, "can't write " + path});
  }
  return {};
}

}  // namespace

ExitCode Report(const CommonOptions& common, const std::string& html_file) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(merged, CollectReports(common));
    if (!html_file.empty()) {
      BOOST_LEAF_CHECK(WriteReportPage(html_file, merged));
    }
    Print(common.json, merged, ReportText(merged));
    return merged.at("unreachable").empty() ? kExitSuccess : kExitUnreachable;
  });
}

}  // namespace gentianroute::ctl
