#include <fstream>

#include "commands.h"
#include "report_tables.h"
#include "text_table.h"

namespace gentianroute::ctl {
namespace {

/// Reads what can be read; a daemon that does not answer is named.
leaf::result<json> Collect(const CommonOptions& common) {
  std::vector<Target> targets = {common.daemon};
  targets.insert(targets.end(), common.also.begin(), common.also.end());
  std::vector<json> reports;
  std::vector<std::string> unreachable;
  for (const Target& target : targets) {
    const HttpResult result = Call(target, "GET", "/v1/report", {});
    json report = json::parse(result.body, nullptr, false);
    if (result.complete && report.is_object() && report.contains("services")) {
      reports.push_back(std::move(report));
    } else {
      unreachable.push_back(target.Text());
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

leaf::result<void> WritePage(const std::string& path, const json& merged) {
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
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(merged, Collect(common));
    if (!html_file.empty()) {
      BOOST_LEAF_CHECK(WritePage(html_file, merged));
    }
    Print(common.json, merged, ReportText(merged));
    return merged.at("unreachable").empty() ? kExitDone : kExitUnreachable;
  });
}

}  // namespace gentianroute::ctl
