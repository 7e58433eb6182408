#include "gentianroute/decision/server_table.h"

#include <algorithm>
#include <array>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

/// Servers of a tier that are compared (power of two choices).
constexpr std::size_t kSampleSize = 2;
constexpr std::size_t kMaxRandomDraws = 8;
/// Limit of a linear scan over free servers after the random draws, for the
/// case that most draws hit servers that can't take the call.
constexpr std::size_t kMaxScannedServers = 16;
constexpr double kServiceTimeSmoothing = 0.1;
constexpr double kLoadReportSmoothing = 0.1;
/// Fraction of the service time that a cached prefix saves.
constexpr double kCachedPrefixSaving = 0.4;
/// Servers in other regions are considered only if the best server in this
/// region is predicted to take more than this fraction of the remaining time.
constexpr double kCrossRegionDeadlineShare = 0.5;
/// A call with Objective::kCost waits for a server in this region, instead of
/// paying for another region, while the time left after the queue wait exceeds
/// this multiple of the expected duration of all remaining stages. Compared
/// with the current stage only, a short first stage would use up the time of
/// the later ones. The queue wait is subtracted so that a backlog that this
/// region can't process in time moves to other regions while they are idle.
constexpr double kNearWaitFactor = 12;
/// Seconds of latency that a micro-euro of transfer price weighs, indexed by
/// Objective.
constexpr std::array<double, 2> kSecondsPerMicroEuro = {0.00001, 0.001};

/// Adds a load report to the moving average of other daemons' calls.
void UpdateExternalLoad(Server& server, std::uint32_t load) {
  const double others =
      static_cast<double>(load) - static_cast<double>(server.in_flight);
  server.external_load +=
      kLoadReportSmoothing * (others - server.external_load);
}

}  // namespace

ServerTable::ServerTable(Options options, std::map<std::string, PathCost> paths)
    : options_(std::move(options)), paths_(std::move(paths)) {}

bool ServerTable::ApplyHostList(TimePoint /*now*/,
                                std::span<const HostRecord> hosts) {
  bool has_new_server = false;
  for (auto& [name, server] : servers_) {
    server->listed = false;
  }
  for (const HostRecord& host : hosts) {
    ServerRef& slot = servers_[host.name];
    const bool known =
        slot != nullptr && slot->host.incarnation == host.incarnation;
    if (!known) {
      if (slot != nullptr && slot->host.incarnation > host.incarnation) {
        // The list is older than the server's last restart.
        slot->listed = true;
        continue;
      }
      slot = new Server();
      has_new_server = true;
    }
    slot->host = host;
    slot->listed = true;
    UpdateExternalLoad(*slot, host.load);
    if (host.leaving) {
      leaving_.insert({host.name, host.incarnation});
    }
    slot->leaving = leaving_.contains({host.name, host.incarnation});
  }
  std::erase_if(servers_, [](const auto& item) {
    return !item.second->listed && item.second->in_flight == 0;
  });
  RebuildIndex();
  return has_new_server;
}

void ServerTable::RebuildIndex() {
  for (auto& [name, pool] : pools_) {
    for (Tier& tier : pool.tiers) {
      for (const ServerRef& server : tier.free) {
        server->free_index = Server::kNotFree;
      }
    }
  }
  pools_.clear();
  for (const auto& [name, server] : servers_) {
    server->counted_as_accepting = false;
    UpdateIndex(*server);
  }
}

void ServerTable::MarkLeaving(std::string_view server,
                              std::uint64_t incarnation) {
  leaving_.insert({std::string(server), incarnation});
  const auto found = servers_.find(server);
  if (found != servers_.end() &&
      found->second->host.incarnation == incarnation) {
    found->second->leaving = true;
    UpdateIndex(*found->second);
  }
}

void ServerTable::RemoveLeaving(std::string_view server,
                                std::uint64_t incarnation) {
  leaving_.erase({std::string(server), incarnation});
}

void ServerTable::OnLoadReport(TimePoint /*now*/,
                               Server& server,
                               std::uint32_t load) {
  server.host.load = load;
  UpdateExternalLoad(server, load);
  UpdateIndex(server);
}

std::size_t ServerTable::TierOf(const Server& server) const {
  if (server.host.data_centre == options_.data_centre) {
    return 0;
  }
  return server.host.region == options_.region ? 1 : 2;
}

void ServerTable::UpdateIndex(Server& server) {
  Tier& tier = pools_[server.host.pool].tiers[TierOf(server)];
  if (server.counted_as_accepting != server.IsAccepting()) {
    server.counted_as_accepting = server.IsAccepting();
    tier.accepting += server.counted_as_accepting ? 1 : std::size_t(-1);
  }
  const bool free = server.IsAccepting() && server.HasFreeSlot();
  const bool listed = server.free_index != Server::kNotFree;
  if (free == listed) {
    return;
  }
  if (free) {
    server.free_index = tier.free.size();
    tier.free.emplace_back(&server);
    return;
  }
  const std::size_t index = server.free_index;
  server.free_index = Server::kNotFree;
  std::swap(tier.free[index], tier.free.back());
  tier.free.pop_back();
  if (index < tier.free.size()) {
    tier.free[index]->free_index = index;
  }
}

bool ServerTable::CanTake(const Server& server, const Query& query) const {
  const PickContext& context = query.context;
  if (query.exclude_ejected && query.now < server.ejected_until) {
    return false;
  }
  if (!context.cross_region && server.host.region != options_.region) {
    return false;
  }
  // On a server slower than the remaining time the call would miss its
  // deadline, and the server's free slots would attract one failing call after
  // another. One call at a time is still sent, to detect its recovery.
  const bool too_slow = server.service_seconds > Seconds(context.remaining);
  if (too_slow && server.in_flight > 0) {
    return false;
  }
  return std::ranges::find(context.excluded, &server, &ServerRef::get) ==
         context.excluded.end();
}

ServerRef ServerTable::Pick(TimePoint now,
                            const PickContext& context,
                            Rng& rng) {
  static constexpr std::array<ChooseFunction, 3> kChooseFunctions = {
      &ServerTable::ChoosePredicted, &ServerTable::ChooseRandom,
      &ServerTable::ChooseLeastReported};
  const auto pool = pools_.find(context.pool);
  if (pool == pools_.end()) {
    return nullptr;
  }
  const ChooseFunction choose =
      kChooseFunctions[static_cast<std::size_t>(options_.policy)];
  for (const bool exclude_ejected : {true, false}) {
    ServerRef server =
        (this->*choose)(pool->second, {now, context, exclude_ejected}, rng);
    if (server != nullptr || context.exclude_ejected) {
      return server;
    }
  }
  return nullptr;
}

ServerRef ServerTable::LeastBusy(TimePoint now,
                                 const PickContext& context) const {
  const Query query{now, context, true};
  ServerRef best;
  for (const auto& [name, server] : servers_) {
    if (server->host.pool == context.pool && server->IsAccepting() &&
        CanTake(*server, query) &&
        (best == nullptr || server->in_flight < best->in_flight)) {
      best = server;
    }
  }
  return best;
}

ServerRef ServerTable::ChoosePredicted(const Pool& pool,
                                       const Query& query,
                                       Rng& rng) const {
  Candidate best;
  EvaluatePrefixHolders(query, best);
  for (std::size_t i = 0; i < kTiers; ++i) {
    const bool far = i + 1 == kTiers;
    if (far && (best.score < kCrossRegionDeadlineShare *
                                 Seconds(query.context.remaining) ||
                CanWaitForNearServer(pool, query.context))) {
      break;
    }
    EvaluateSample(pool.tiers[i], query, rng, best);
  }
  return best.server;
}

bool ServerTable::CanWaitForNearServer(const Pool& pool,
                                       const PickContext& context) {
  const bool near = pool.tiers[0].accepting + pool.tiers[1].accepting > 0;
  const Duration rest = std::max(context.expected, context.expected_remaining);
  return near && context.objective == Objective::kCost &&
         Seconds(context.remaining - context.queue_wait) >
             kNearWaitFactor * Seconds(rest);
}

void ServerTable::EvaluatePrefixHolders(const Query& query,
                                        Candidate& best) const {
  if (prefix_affinity_ == nullptr || query.context.prefix == 0) {
    return;
  }
  for (const std::string& name :
       prefix_affinity_->Holders(query.context.prefix)) {
    const auto found = servers_.find(name);
    if (found == servers_.end()) {
      continue;
    }
    const ServerRef& server = found->second;
    if (server->host.pool == query.context.pool &&
        server->free_index != Server::kNotFree && CanTake(*server, query)) {
      EvaluateCandidate(server, query, best);
    }
  }
}

void ServerTable::EvaluateSample(const Tier& tier,
                                 const Query& query,
                                 Rng& rng,
                                 Candidate& best) const {
  const std::size_t count = tier.free.size();
  if (count == 0) {
    return;
  }
  const std::size_t offset = rng() % count;
  const std::size_t steps =
      kMaxRandomDraws + std::min(count, kMaxScannedServers);
  std::size_t seen = 0;
  const Server* last = nullptr;
  for (std::size_t step = 0; step < steps && seen < kSampleSize; ++step) {
    const std::size_t index =
        step < kMaxRandomDraws ? rng() % count : (offset + step) % count;
    const ServerRef& server = tier.free[index];
    if (server.get() == last || !CanTake(*server, query)) {
      continue;
    }
    last = server.get();
    ++seen;
    EvaluateCandidate(server, query, best);
  }
}

void ServerTable::EvaluateCandidate(const ServerRef& server,
                                    const Query& query,
                                    Candidate& best) const {
  const double score = PredictedSeconds(*server, query.context);
  if (score < best.score) {
    best = {server, score};
  }
}

ServerRef ServerTable::ChooseRandom(const Pool& pool,
                                    const Query& query,
                                    Rng& rng) const {
  std::vector<ServerRef> candidates;
  for (const Tier& tier : pool.tiers) {
    for (const ServerRef& server : tier.free) {
      if (CanTake(*server, query)) {
        candidates.push_back(server);
      }
    }
  }
  return candidates.empty() ? nullptr : candidates[rng() % candidates.size()];
}

ServerRef ServerTable::ChooseLeastReported(const Pool& pool,
                                           const Query& query,
                                           Rng& /*rng*/) const {
  ServerRef best;
  for (const Tier& tier : pool.tiers) {
    for (const ServerRef& server : tier.free) {
      if (CanTake(*server, query) &&
          (best == nullptr || server->host.load < best->host.load)) {
        best = server;
      }
    }
  }
  return best;
}

double ServerTable::PredictedSeconds(const Server& server,
                                     const PickContext& context) const {
  const auto path = paths_.find(server.host.data_centre);
  const PathCost cost = path == paths_.end() ? PathCost{} : path->second;
  double service = server.service_seconds > 0 ? server.service_seconds
                                              : Seconds(context.expected);
  if (prefix_affinity_ != nullptr && context.prefix != 0 &&
      prefix_affinity_->Holds(server.host.name, context.prefix)) {
    service *= 1 - kCachedPrefixSaving;
  }
  const double queueing =
      server.PredictedLoad() / std::max(1U, server.host.slots) * service;
  const double price =
      cost.micros_per_byte * static_cast<double>(context.bytes);
  const double price_seconds =
      price * kSecondsPerMicroEuro[static_cast<std::size_t>(context.objective)];
  return 2 * Seconds(cost.one_way) + service + queueing + price_seconds;
}

bool ServerTable::HasServer(std::string_view pool) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() &&
         std::ranges::any_of(found->second.tiers, [](const Tier& tier) {
           return tier.accepting > 0;
         });
}

void ServerTable::OnStart(Server& server) {
  ++server.in_flight;
  ++server.calls;
  UpdateIndex(server);
}

void ServerTable::OnSuccess(TimePoint /*now*/, Server& server, Duration took) {
  OnCancelled(server);
  server.consecutive_failures = 0;
  server.ejected_until = {};
  const double seconds = Seconds(took);
  server.service_seconds =
      server.service_seconds == 0
          ? seconds
          : server.service_seconds +
                kServiceTimeSmoothing * (seconds - server.service_seconds);
}

void ServerTable::OnFailure(TimePoint now, Server& server, bool unreachable) {
  OnCancelled(server);
  ++server.failures;
  ++server.consecutive_failures;
  if (unreachable) {
    // Ejects the server at once: an unreachable server has no calls in flight,
    // so it would otherwise be chosen for call after call.
    server.consecutive_failures = std::max(server.consecutive_failures,
                                           options_.failures_before_ejection);
  }
  if (server.consecutive_failures < options_.failures_before_ejection) {
    return;
  }
  const std::uint32_t excess_failures = std::min(
      server.consecutive_failures - options_.failures_before_ejection, 8U);
  server.ejected_until =
      now + std::min(options_.ejection_duration * (1 << excess_failures),
                     options_.max_ejection_duration);
}

void ServerTable::OnCancelled(Server& server) {
  GR_INVARIANT(server.in_flight > 0);
  --server.in_flight;
  UpdateIndex(server);
}

}  // namespace gentianroute
