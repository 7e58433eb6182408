#include "commands.h"
#include "report_merge.h"
#include "text_table.h"

namespace gentianroute::ctl {
namespace {

using Rows = std::vector<std::vector<std::string>>;

std::string FieldText(const json& value, const char* field) {
  const json& member = value.at(field);
  return member.is_string() ? member.get<std::string>() : member.dump();
}

std::string SummaryText(const json& status) {
  std::string state = status.at("ready").get<bool>() ? "ready" : "not ready";
  if (status.at("draining").get<bool>()) {
    state = "draining";
  }
  return FieldText(status, "name") + " (" + FieldText(status, "data_centre") +
         ", " + FieldText(status, "region") + "): " + state + ", revision " +
         FieldText(status, "revision") + " in force, highest heard of " +
         FieldText(status, "highest_heard") +
         "\nrequests: " + FieldText(status, "submitted") + " submitted, " +
         FieldText(status, "answered") + " answered, " +
         FieldText(status, "failed") + " failed, " +
         FieldText(status, "active") + " running, " +
         FieldText(status, "queued") + " waiting\n";
}

std::string PeersText(const json& status) {
  constexpr double kMillisPerSecond = 1000;
  Rows rows = {{"daemon", "data centre", "revision", "heard", "state"}};
  for (const json& peer : status.at("peer_revisions")) {
    const json& heard = peer.at("heard_ms_ago");
    const int seconds =
        heard.is_null()
            ? 0
            : static_cast<int>(heard.get<double>() / kMillisPerSecond);
    rows.push_back(
        {FieldText(peer, "name"), FieldText(peer, "data_centre"),
         FieldText(peer, "revision"),
         heard.is_null() ? "never" : std::to_string(seconds) + " s ago",
         peer.at("reachable").get<bool>() ? "" : "out of reach"});
  }
  return "\npeers\n" + TextTable(rows);
}

std::string ServerState(const json& server) {
  if (server.at("leaving").get<bool>()) {
    return "leaving";
  }
  if (!server.at("accepts").get<bool>()) {
    return "not listed";
  }
  return server.at("out_of_favour").get<bool>() ? "out of favour" : "in favour";
}

std::string ServersText(const json& status) {
  Rows rows = {{"server", "pool", "data centre", "state", "in flight", "load",
                "calls", "failures"}};
  for (const json& server : status.at("servers")) {
    rows.push_back({FieldText(server, "name"), FieldText(server, "pool"),
                    FieldText(server, "data_centre"), ServerState(server),
                    FieldText(server, "in_flight"), FieldText(server, "load"),
                    FieldText(server, "calls"), FieldText(server, "failures")});
  }
  return "\nbackend servers\n" + TextTable(rows);
}

std::string HeaviestText(const json& status) {
  Rows rows = {{"organisation", "subscriber", "recent cost"}};
  for (const json& usage : status.at("heaviest")) {
    rows.push_back({FieldText(usage, "organisation"),
                    FieldText(usage, "subscriber"),
                    FormatTwoDecimals(usage.at("cost"))});
  }
  return "\nheaviest\n" + TextTable(rows);
}

}  // namespace

ExitCode Status(const CommonOptions& common) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(status, GetJson(common.daemon, "/status"));
    Print(common.json, status,
          common.json ? std::string()
                      : SummaryText(status) + PeersText(status) +
                            ServersText(status) + HeaviestText(status));
    return kExitSuccess;
  });
}

}  // namespace gentianroute::ctl
