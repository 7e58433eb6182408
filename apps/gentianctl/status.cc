#include "commands.h"
#include "report_merge.h"
#include "text_table.h"

namespace gentianroute::ctl {
namespace {

using Rows = std::vector<std::vector<std::string>>;

std::string TextOf(const json& value, const char* field) {
  const json& member = value.at(field);
  return member.is_string() ? member.get<std::string>() : member.dump();
}

std::string HeadText(const json& status) {
  std::string state = status.at("ready").get<bool>() ? "ready" : "not ready";
  if (status.at("draining").get<bool>()) {
    state = "draining";
  }
  return TextOf(status, "name") + " (" + TextOf(status, "data_centre") + ", " +
         TextOf(status, "region") + "): " + state + ", revision " +
         TextOf(status, "revision") + " in force, highest heard of " +
         TextOf(status, "highest_heard") +
         "\nrequests: " + TextOf(status, "submitted") + " taken, " +
         TextOf(status, "answered") + " answered, " + TextOf(status, "failed") +
         " failed, " + TextOf(status, "active") + " running, " +
         TextOf(status, "queued") + " waiting\n";
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
        {TextOf(peer, "name"), TextOf(peer, "data_centre"),
         TextOf(peer, "revision"),
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
    rows.push_back({TextOf(server, "name"), TextOf(server, "pool"),
                    TextOf(server, "data_centre"), ServerState(server),
                    TextOf(server, "in_flight"), TextOf(server, "load"),
                    TextOf(server, "calls"), TextOf(server, "failures")});
  }
  return "\nbackend servers\n" + TextTable(rows);
}

std::string HeaviestText(const json& status) {
  Rows rows = {{"organisation", "subscriber", "recent cost"}};
  for (const json& use : status.at("heaviest")) {
    rows.push_back({TextOf(use, "organisation"), TextOf(use, "subscriber"),
                    TwoDecimals(use.at("cost"))});
  }
  return "\nheaviest\n" + TextTable(rows);
}

}  // namespace

ExitCode Status(const CommonOptions& common) {
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(status, Get(common.daemon, "/status"));
    Print(common.json, status,
          common.json ? std::string()
                      : HeadText(status) + PeersText(status) +
                            ServersText(status) + HeaviestText(status));
    return kExitDone;
  });
}

}  // namespace gentianroute::ctl
