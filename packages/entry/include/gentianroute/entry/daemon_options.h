#ifndef GENTIANROUTE_ENTRY_DAEMON_OPTIONS_H_
#define GENTIANROUTE_ENTRY_DAEMON_OPTIONS_H_

#include <settings.capnp.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/decision/claim_ledger.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/decision/poll_schedule.h"
#include "gentianroute/decision/server_table.h"
#include "gentianroute/entry/peer_links.h"
#include "gentianroute/loop/http_server.h"

namespace gentianroute {

// Conversions of the settings to the options of the daemon's components.

/// @brief Returns the path cost to each data centre that has a link.
std::map<std::string, PathCost> PathCosts(schema::Settings::Reader settings);

std::vector<PeerAddress> SeedPeers(schema::Settings::Reader settings);

HttpServer::Options ServerOptions(schema::Listener::Reader listener,
                                  schema::Limits::Reader limits);

ServerTable::Options TableOptions(schema::Settings::Reader settings);

ClaimLedger::Options ClaimOptions(schema::Settings::Reader settings,
                                  std::uint64_t incarnation);

Coordinator::Options CoordinatorOptions(schema::Settings::Reader settings);

PeerLinks::Options PeerOptions(schema::Settings::Reader settings,
                               std::uint64_t incarnation);

PollSchedule::Options PollOptions(schema::Settings::Reader settings);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_DAEMON_OPTIONS_H_
