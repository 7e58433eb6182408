#include "gentianroute/decision/server_table.h"

#include <algorithm>
#include <array>
#include <limits>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

constexpr std::size_t kChoices = 2;
constexpr std::size_t kDraws = 8;
constexpr double kAverageWeight = 0.1;
/// Seconds that a micro-euro of transfer is worth, by objective.
constexpr std::array<double, 2> kSecondsPerMicroEuro = {0.00001, 0.001};

}  // namespace

ServerTable::ServerTable(Options options, std::map<std::string, PathCost> paths)
    : options_(std::move(options)), paths_(std::move(paths)) {}

bool ServerTable::ApplyHostList(TimePoint /*now*/,
                                std::span<const HostRecord> hosts) {
  bool gained = false;
  for (auto& [name, server] : servers_) {
    server->listed = false;
  }
  for (const HostRecord& host : hosts) {
    ServerRef& slot = servers_[host.name];
    const bool known =
        slot != nullptr && slot->host.incarnation == host.incarnation;
    if (!known) {
      if (slot != nullptr && slot->host.incarnation > host.incarnation) {
        // An older list: the server has been restarted since.
        slot->listed = true;
        continue;
      }
      slot = new Server();
      gained = true;
    }
    slot->host = host;
    slot->listed = true;
    slot->started_since_report = 0;
    if (host.leaving) {
      leaving_.insert({host.name, host.incarnation});
    }
    slot->leaving = leaving_.contains({host.name, host.incarnation});
  }
  std::erase_if(servers_, [](const auto& item) {
    return !item.second->listed && item.second->in_flight == 0;
  });
  Rebuild();
  return gained;
}

void ServerTable::Rebuild() {
  pools_.clear();
  for (const auto& [name, server] : servers_) {
    pools_[server->host.pool].servers.push_back(server);
  }
}

void ServerTable::MarkLeaving(std::string_view server,
                              std::uint64_t incarnation) {
  leaving_.insert({std::string(server), incarnation});
  const auto found = servers_.find(server);
  if (found != servers_.end() &&
      found->second->host.incarnation == incarnation) {
    found->second->leaving = true;
  }
}

void ServerTable::ForgetLeaving(std::string_view server,
                                std::uint64_t incarnation) {
  leaving_.erase({std::string(server), incarnation});
}

void ServerTable::OnLoadReport(TimePoint /*now*/,
                               Server& server,
                               std::uint32_t load) {
  server.host.load = load;
  server.started_since_report = 0;
}

bool ServerTable::MayTake(TimePoint now,
                          const Server& server,
                          const PickContext& context,
                          bool in_favour_only) const {
  if (!server.Accepts() || server.in_flight >= server.host.slots) {
    return false;
  }
  if (in_favour_only && now < server.out_of_favour_until) {
    return false;
  }
  if (!context.cross_region && server.host.region != options_.region) {
    return false;
  }
  return std::ranges::find(context.avoid, &server, &ServerRef::get) ==
         context.avoid.end();
}

ServerRef ServerTable::Pick(TimePoint now,
                            const PickContext& context,
                            Rng& rng) {
  const auto pool = pools_.find(context.pool);
  if (pool == pools_.end()) {
    return nullptr;
  }
  const std::vector<ServerRef>& servers = pool->second.servers;
  const Score score = ScoreOf(options_.policy);
  for (const bool in_favour_only : {true, false}) {
    ServerRef best;
    double best_score = std::numeric_limits<double>::infinity();
    std::size_t seen = 0;
    const std::size_t offset = rng() % servers.size();
    for (std::size_t step = 0; step < servers.size(); ++step) {
      const std::size_t draw = step < kDraws ? rng() % servers.size()
                                             : (offset + step) % servers.size();
      const ServerRef& server = servers[draw];
      if (!MayTake(now, *server, context, in_favour_only)) {
        continue;
      }
      const double value = (this->*score)(now, *server, context);
      if (value < best_score) {
        best_score = value;
        best = server;
      }
      if (++seen == kChoices) {
        break;
      }
    }
    if (best != nullptr) {
      return best;
    }
  }
  return nullptr;
}

ServerTable::Score ServerTable::ScoreOf(RoutingPolicy policy) {
  static constexpr std::array<Score, 3> kScores = {&ServerTable::ScorePredicted,
                                                   &ServerTable::ScoreNothing,
                                                   &ServerTable::ScoreReported};
  return kScores[static_cast<std::size_t>(policy)];
}

double ServerTable::ScorePredicted(TimePoint /*now*/,
                                   const Server& server,
                                   const PickContext& context) const {
  const auto path = paths_.find(server.host.data_centre);
  const PathCost cost = path == paths_.end() ? PathCost{} : path->second;
  const double service = server.service_seconds > 0 ? server.service_seconds
                                                    : Seconds(context.expected);
  const double ahead = std::max(server.host.load + server.started_since_report,
                                server.in_flight);
  const double queueing = ahead / std::max(1U, server.host.slots) * service;
  const double price =
      cost.micros_per_byte * static_cast<double>(context.bytes);
  const double price_seconds =
      price * kSecondsPerMicroEuro[static_cast<std::size_t>(context.objective)];
  return 2 * Seconds(cost.one_way) + service + queueing + price_seconds;
}

double ServerTable::ScoreNothing(TimePoint /*now*/,
                                 const Server& /*server*/,
                                 const PickContext& /*context*/) const {
  return 0;
}

double ServerTable::ScoreReported(TimePoint /*now*/,
                                  const Server& server,
                                  const PickContext& /*context*/) const {
  return server.host.load;
}

bool ServerTable::HasServer(std::string_view pool) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() &&
         std::ranges::any_of(
             found->second.servers,
             [](const ServerRef& server) { return server->Accepts(); });
}

void ServerTable::OnStart(Server& server) {
  ++server.in_flight;
  ++server.started_since_report;
  ++server.calls;
}

void ServerTable::OnSuccess(TimePoint /*now*/, Server& server, Duration took) {
  OnCancelled(server);
  server.consecutive_failures = 0;
  server.out_of_favour_until = {};
  const double seconds = Seconds(took);
  server.service_seconds =
      server.service_seconds == 0
          ? seconds
          : server.service_seconds +
                kAverageWeight * (seconds - server.service_seconds);
}

void ServerTable::OnFailure(TimePoint now, Server& server) {
  OnCancelled(server);
  ++server.failures;
  ++server.consecutive_failures;
  if (server.consecutive_failures < options_.failures_out_of_favour) {
    return;
  }
  const std::uint32_t beyond = std::min(
      server.consecutive_failures - options_.failures_out_of_favour, 8U);
  server.out_of_favour_until =
      now + std::min(options_.out_of_favour * (1 << beyond),
                     options_.longest_out_of_favour);
}

void ServerTable::OnCancelled(Server& server) {
  GR_INVARIANT(server.in_flight > 0);
  --server.in_flight;
}

}  // namespace gentianroute
