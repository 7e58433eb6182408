#include "gentianroute/routing/pool_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gentianroute::routing {
namespace {

/// An answer that is late costs its caller more than any results that cross.
constexpr double kLateMs = 5000.0;

double ScoreMs(const PoolState& pool,
               const PoolWork& work,
               const StageCapacity& capacity,
               const Topology& map) {
  const double time = Milliseconds(TimeInPool(pool, work, capacity)) +
                      Milliseconds(map.RoundTrip(pool.data_centre));
  const PlacedBytes results{pool.data_centre, work.result_bytes};
  const double onward =
      work.read_in.empty()
          ? 0.0
          : AwayMs({&results, 1}, work.read_in, kPoolMsPerMegabyteAway);
  const double late = time > Milliseconds(work.time_left) ? kLateMs : 0.0;
  return time + late +
         AwayMs(work.inputs, pool.data_centre, kPoolMsPerMegabyteAway) + onward;
}

}  // namespace

Duration TimeInPool(const PoolState& pool,
                    const PoolWork& work,
                    const StageCapacity& capacity) {
  const Duration wait =
      pool.backlog.in_time / std::max<std::int64_t>(1, pool.servers);
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

void PoolBoard::Report(TimePoint now, PoolState state) {
  Entry& entry = entries_[{state.service, state.data_centre}];
  entry.state.backlog = state.backlog;
  entry.state.service = std::move(state.service);
  entry.state.data_centre = std::move(state.data_centre);
  entry.reported = now;
  entry.handed_over = Duration{0};
}

void PoolBoard::OnHandedOver(std::string_view service,
                             std::string_view data_centre,
                             Duration server_time) {
  Entry& entry = entries_[{std::string(service), std::string(data_centre)}];
  entry.handed_over += server_time;
}

void PoolBoard::SetServers(std::string_view service,
                           std::string_view data_centre,
                           std::uint32_t servers) {
  Entry& entry = entries_[{std::string(service), std::string(data_centre)}];
  entry.state.service = service;
  entry.state.data_centre = data_centre;
  entry.state.servers = servers;
}

std::vector<PoolState> PoolBoard::Of(TimePoint now,
                                     std::string_view service) const {
  std::vector<PoolState> pools;
  for (const auto& [key, entry] : entries_) {
    if (key.first != service) {
      continue;
    }
    PoolState state = entry.state;
    // Each server works off one second of backlog in a second.
    const Duration done =
        (now - entry.reported) * std::max<std::int64_t>(1, state.servers);
    const Duration change = entry.handed_over - done;
    const auto present = [change](Duration reported) {
      return std::max(Duration{0}, reported + change);
    };
    state.backlog = {present(state.backlog.in_time),
                     present(state.backlog.all)};
    pools.push_back(std::move(state));
  }
  return pools;
}

}  // namespace gentianroute::routing
