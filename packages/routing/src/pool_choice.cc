#include "gentianroute/routing/pool_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gentianroute::routing {
namespace {

/// A late answer costs more than any transfer between data centres.
constexpr double kLatePenaltyMs = 5000.0;

double ScoreMs(const PoolState& pool,
               const PoolWork& work,
               const StageCapacity& capacity,
               const Topology& topology) {
  const double time_ms = Milliseconds(EstimatedPoolTime(pool, work, capacity)) +
                         Milliseconds(topology.RoundTrip(pool.data_centre));
  const PlacedBytes results{pool.data_centre, work.result_bytes};
  const double result_transfer_ms =
      work.reader_data_centre.empty()
          ? 0.0
          : TransferCostMs({&results, 1}, work.reader_data_centre,
                           kPoolTransferMsPerMegabyte);
  const double late =
      time_ms > Milliseconds(work.time_left) ? kLatePenaltyMs : 0.0;
  return time_ms + late +
         TransferCostMs(work.inputs, pool.data_centre,
                        kPoolTransferMsPerMegabyte) +
         result_transfer_ms;
}

}  // namespace

Duration EstimatedPoolTime(const PoolState& pool,
                           const PoolWork& work,
                           const StageCapacity& capacity) {
  const Duration wait =
      pool.backlog.on_time / std::max<std::int64_t>(1, pool.servers);
  const std::uint32_t in_call = std::min(work.pieces, capacity.batch);
  return wait + capacity.call_overhead + work.piece_time * in_call;
}

const PoolState* ChoosePool(std::span<const PoolState> pools,
                            const PoolWork& work,
                            const StageCapacity& capacity,
                            const Topology& topology) {
  const PoolState* best = nullptr;
  double best_ms = std::numeric_limits<double>::max();
  for (const PoolState& pool : pools) {
    const double ms = ScoreMs(pool, work, capacity, topology);
    if (pool.servers > 0 && ms < best_ms) {
      best = &pool;
      best_ms = ms;
    }
  }
  return best;
}

const PoolState* FasterPool(std::span<const PoolState> pools,
                            std::string_view own_data_centre,
                            Duration wait,
                            const StageCapacity& capacity,
                            const Topology& topology) {
  const PoolState* fastest = nullptr;
  Duration shortest = wait - capacity.TypicalCallTime();
  for (const PoolState& pool : pools) {
    if (pool.servers == 0 || pool.data_centre == own_data_centre) {
      continue;
    }
    const Duration there =
        pool.backlog.all / static_cast<std::int64_t>(pool.servers) +
        topology.RoundTrip(own_data_centre, pool.data_centre);
    if (there < shortest) {
      fastest = &pool;
      shortest = there;
    }
  }
  return fastest;
}

void PoolStateTable::Report(TimePoint now, PoolState state) {
  Entry& entry = entries_[{state.service, state.data_centre}];
  entry.state.backlog = state.backlog;
  entry.state.service = std::move(state.service);
  entry.state.data_centre = std::move(state.data_centre);
  entry.reported = now;
  entry.submitted = Duration{0};
}

void PoolStateTable::OnWorkSubmitted(std::string_view service,
                                     std::string_view data_centre,
                                     Duration server_time) {
  Entry& entry = entries_[{std::string(service), std::string(data_centre)}];
  entry.submitted += server_time;
}

void PoolStateTable::SetServers(std::string_view service,
                                std::string_view data_centre,
                                std::uint32_t servers) {
  Entry& entry = entries_[{std::string(service), std::string(data_centre)}];
  entry.state.service = service;
  entry.state.data_centre = data_centre;
  entry.state.servers = servers;
}

std::vector<PoolState> PoolStateTable::PoolsOf(TimePoint now,
                                               std::string_view service) const {
  std::vector<PoolState> pools;
  for (const auto& [key, entry] : entries_) {
    if (key.first != service) {
      continue;
    }
    PoolState state = entry.state;
    // Each server completes one second of backlog each second.
    const Duration completed =
        (now - entry.reported) * std::max<std::int64_t>(1, state.servers);
    const Duration change = entry.submitted - completed;
    const auto current = [change](Duration reported) {
      return std::max(Duration{0}, reported + change);
    };
    state.backlog = {current(state.backlog.on_time),
                     current(state.backlog.all)};
    pools.push_back(std::move(state));
  }
  return pools;
}

}  // namespace gentianroute::routing
