#include "gentianroute/entry/daemon_options.h"

#include <random>

#include "gentianroute/entry/problem.h"

namespace gentianroute {

using std::chrono::milliseconds;

std::map<std::string, PathCost> PathCosts(schema::Settings::Reader settings) {
  constexpr double kBytesPerMegabyte = 1e6;
  std::map<std::string, PathCost> paths;
  for (const auto link : settings.getLinks()) {
    paths[link.getDataCentre().cStr()] = {
        Duration(link.getOneWayMicros()),
        link.getMicrosPerMegabyte() / kBytesPerMegabyte};
  }
  return paths;
}

std::vector<PeerAddress> SeedPeers(schema::Settings::Reader settings) {
  std::vector<PeerAddress> seeds;
  for (const auto seed : settings.getSeeds()) {
    seeds.push_back({seed.getName().cStr(), seed.getDataCentre().cStr(),
                     seed.getAddress().cStr(), seed.getPort()});
  }
  return seeds;
}

HttpServer::Options ServerOptions(schema::Listener::Reader listener,
                                  schema::Limits::Reader limits) {
  HttpServer::Options options;
  options.address = listener.getAddress().cStr();
  options.port = listener.getPort();
  options.certificate_file = listener.getCertificateFile().cStr();
  options.key_file = listener.getKeyFile().cStr();
  options.max_body = limits.getMaxBodyBytes();
  options.max_connections = limits.getMaxConnections();
  options.make_error_response = &ProblemForStatus;
  return options;
}

ServerTable::Options TableOptions(schema::Settings::Reader settings) {
  ServerTable::Options options;
  options.data_centre = settings.getDataCentre().cStr();
  options.region = settings.getRegion().cStr();
  return options;
}

ClaimLedger::Options ClaimOptions(schema::Settings::Reader settings,
                                  std::uint64_t incarnation) {
  ClaimLedger::Options options;
  options.daemon = settings.getName().cStr();
  options.incarnation = incarnation;
  return options;
}

Coordinator::Options CoordinatorOptions(schema::Settings::Reader settings) {
  Coordinator::Options options;
  options.max_queued = settings.getLimits().getMaxQueued();
  options.seed = std::random_device{}();
  return options;
}

PeerLinks::Options PeerOptions(schema::Settings::Reader settings,
                               std::uint64_t incarnation) {
  PeerLinks::Options options;
  options.name = settings.getName().cStr();
  options.address = settings.getPeers().getAddress().cStr();
  options.port = settings.getPeers().getPort();
  options.seed = incarnation;
  return options;
}

PollSchedule::Options PollOptions(schema::Settings::Reader settings) {
  PollSchedule::Options options;
  options.name = settings.getName().cStr();
  options.period = milliseconds(settings.getPlatform().getPollMs());
  return options;
}

}  // namespace gentianroute
