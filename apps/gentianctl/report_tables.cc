#include "report_tables.h"

#include "configuration.h"

namespace gentianroute::ctl {
namespace {

ReportTable ServicesTable(const json& merged) {
  ReportTable table{"Attainment and burn rate by service",
                    {{"service", "requests", "attainment"}}};
  for (const json& service : merged.at("services")) {
    std::vector<std::string> row = {service.at("service"),
                                    service.at("total").dump(),
                                    FormatPercent(service.at("attainment"))};
    for (const json& window : service.at("windows")) {
      if (table.rows.size() == 1) {
        table.rows[0].push_back("burn " + FormatWindow(window.at("seconds")));
      }
      row.push_back(FormatTwoDecimals(window.at("burn_rate")));
    }
    table.rows.push_back(std::move(row));
  }
  return table;
}

ReportTable StagesTable(const json& merged) {
  ReportTable table{"Cost by stage",
                    {{"service", "profile", "stage", "runs", "calls", "units",
                      "billed bytes", "euros", "share"}}};
  for (const json& stage : merged.at("stages")) {
    table.rows.push_back({stage.at("service"), stage.at("profile"),
                          stage.at("stage"), stage.at("runs").dump(),
                          stage.at("attempts").dump(), stage.at("units").dump(),
                          stage.at("billed_bytes").dump(),
                          FormatEuros(stage.at("cost_micros")),
                          FormatPercent(stage.at("cost_share"))});
  }
  return table;
}

ReportTable HeaviestTable(const json& merged) {
  ReportTable table{"Heaviest organisations and subscribers",
                    {{"organisation", "subscriber", "recent cost"}}};
  for (const json& usage : merged.at("heaviest")) {
    const std::string subscriber = usage.at("subscriber");
    table.rows.push_back({usage.at("organisation"),
                          subscriber.empty() ? "(all)" : subscriber,
                          FormatTwoDecimals(usage.at("cost"))});
  }
  return table;
}

ReportTable OutOfFavourTable(const json& merged) {
  ReportTable table{"Backend servers that get no work",
                    {{"server", "pool", "data centre", "why", "seen by"}}};
  for (const json& server : merged.at("out_of_favour")) {
    table.rows.push_back({server.at("server"), server.at("pool"),
                          server.at("data_centre"), server.at("why"),
                          server.at("seen_by")});
  }
  return table;
}

ReportTable DaemonsTable(const json& merged) {
  ReportTable table{"Revision in force by daemon",
                    {{"daemon", "data centre", "revision", "counting since"}}};
  for (const json& daemon : merged.at("daemons")) {
    const bool asked = daemon.at("asked");
    table.rows.push_back(
        {daemon.at("name"), daemon.at("data_centre"),
         daemon.at("revision").dump(),
         asked ? FormatTime(daemon.at("counting_since_unix_micros"))
               : std::string("not asked")});
  }
  for (const json& target : merged.at("unreachable")) {
    table.rows.push_back({target, "", "", "did not answer"});
  }
  return table;
}

}  // namespace

std::vector<ReportTable> ReportTables(const json& merged) {
  return {ServicesTable(merged), StagesTable(merged), HeaviestTable(merged),
          OutOfFavourTable(merged), DaemonsTable(merged)};
}

std::string ReportSummary(const json& merged) {
  return "Service levels at " + FormatTime(merged.at("at_unix_micros")) +
         ", target " + FormatPercent(merged.at("attainment_target")) +
         " answered in full within the deadline. A burn rate above 1 spends "
         "the "
         "error budget too fast. Hosts store nothing: each daemon counts since "
         "its own start; only the burn rates over 6 h and 3 d continue from "
         "what its host last saved with the platform, up to ten minutes ago. "
         "Only the daemons that were asked are included.";
}

}  // namespace gentianroute::ctl
