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

// One-way network latency between a daemon and a server.
constexpr Duration kIntraRegionLatency{500};
constexpr Duration kInterRegionLatency = std::chrono::milliseconds(20);

/// @brief Stub codec: the model has no claims, as no request carries an
/// idempotency key.
class NullClaimCodec : public ClaimCodec {
 public:
  std::string Encode(const Claim& /*claim*/) const override { return {}; }
  std::optional<Claim> Decode(std::string_view /*text*/) const override {
    return std::nullopt;
  }
};

inline const NullClaimCodec kNullClaimCodec;

/// @brief Simulated server with slots, a FIFO queue and an LRU prefix cache.
struct LoadModel::FakeServer {
  HostRecord record;
  PoolPlan plan;
  bool is_slow = false;  ///< `plan.slowdown_factor` applies
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Call>> queue;
  /// Load samples, oldest first.
  std::deque<std::pair<TimePoint, std::uint32_t>> history;
  std::deque<std::uint64_t> cache;  ///< prefixes, most recently used first
  std::uint64_t sequence = 0;       ///< of the latest cache event

  std::uint32_t Load() const {
    return running + static_cast<std::uint32_t>(queue.size());
  }
};

/// @brief One call that is in transit to a server, queued, or running there.
struct LoadModel::Call {
  Daemon* daemon;
  FakeServer* server;
  AttemptId attempt;
  std::size_t bytes;
  std::uint64_t prefix = 0;  ///< 0: none, or the stage does not stream
  bool running = false;
  bool ended = false;  ///< answered or cancelled
};

/// @brief A request whose caller is waiting for an answer.
struct LoadModel::PendingRequest {
  Traffic traffic;
  TimePoint first_sent;
  std::uint32_t resends_left;
};

/// @brief A region's coordinator and the state it decides on.
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
  TimePoint next_wakeup = kNever;  ///< time of the scheduled Advance call
};

}  // namespace gentianroute::bench

#endif  // GENTIANROUTE_BENCHMARKS_LOAD_MODEL_INTERNAL_H_
