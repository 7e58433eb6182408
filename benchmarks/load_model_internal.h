#ifndef GENTIANROUTE_BENCHMARKS_LOAD_MODEL_INTERNAL_H_
#define GENTIANROUTE_BENCHMARKS_LOAD_MODEL_INTERNAL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "load_model.h"

namespace gentianroute::bench {

constexpr Duration kIntraRegionLatency{500};
constexpr Duration kInterRegionLatency = std::chrono::milliseconds(20);

/// @brief Claims are not part of the model: no request carries a key.
class NullClaimCodec : public ClaimCodec {
 public:
  std::string Encode(const Claim& /*claim*/) const override { return {}; }
  std::optional<Claim> Decode(std::string_view /*text*/) const override {
    return std::nullopt;
  }
};

inline const NullClaimCodec kNullClaimCodec;

/// @brief One server of the model: slots, a line, a prefix cache.
struct LoadModel::FakeServer {
  HostRecord record;
  PoolPlan plan;
  bool is_slow = false;
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Call>> queue;
  std::deque<std::pair<TimePoint, std::uint32_t>> history;
  std::deque<std::uint64_t> cache;  ///< prefixes, the latest used first
  std::uint64_t sequence = 0;

  std::uint32_t Load() const {
    return running + static_cast<std::uint32_t>(queue.size());
  }
};

/// @brief One call on its way to a server, in its line, or running there.
struct LoadModel::Call {
  Daemon* daemon;
  FakeServer* server;
  AttemptId attempt;
  std::size_t bytes;
  std::uint64_t prefix = 0;
  bool running = false;
  bool ended = false;
};

/// @brief A request that a caller waits for.
struct LoadModel::PendingRequest {
  Traffic traffic;
  TimePoint first_sent;
  std::uint32_t resends_left;
};

/// @brief A region's coordinator and what it decides by.
struct LoadModel::Daemon {
  Daemon(const LoadPlan& plan,
         std::string name,
         ServerTable::Options options,
         std::map<std::string, PathCost> paths)
      : region(std::move(name)),
        servers(std::move(options), std::move(paths)),
        claims(ClaimLedger::Options{}, kNullClaimCodec),
        coordinator(plan.coordinator, servers, usage, suspects, claims) {}

  std::string region;
  ServerTable servers;
  UsageLedger usage;
  SuspectTable suspects;
  PrefixAffinity caches;
  ClaimLedger claims;
  Coordinator coordinator;
  std::unordered_map<RequestId, PendingRequest> pending_requests;
  std::unordered_map<AttemptId, std::shared_ptr<Call>> calls;
  TimePoint next_wakeup = kNever;
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_MODEL_INTERNAL_H_
