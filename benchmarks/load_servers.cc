#include <algorithm>
#include <random>
#include <utility>

#include "load_model_internal.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCacheEventDelay = milliseconds(500);
/// Fraction of the mean service time spent on prefilling an uncached prefix.
constexpr double kPrefillShare = 0.4;
constexpr Duration kFailureDelay = milliseconds(5);
constexpr int kStatusOk = 200;
constexpr int kStatusFailed = 500;

}  // namespace

void LoadModel::OnArrival(const std::shared_ptr<Call>& call) {
  if (call->ended) {
    return;
  }
  FakeServer& server = *call->server;
  const TimePoint fault_begin = TimePoint{} + server.plan.fails_from;
  const TimePoint fault_end = TimePoint{} + server.plan.fails_until;
  if (now_ >= fault_begin && now_ < fault_end) {
    if (server.plan.hangs) {
      return;
    }
    Schedule(now_ + kFailureDelay,
             [this, call] { EndCall(call, kStatusFailed); });
    return;
  }
  if (server.running >= server.record.slots) {
    server.queue.push_back(call);
    return;
  }
  StartService(call);
}

void LoadModel::StartService(const std::shared_ptr<Call>& call) {
  FakeServer& server = *call->server;
  ++server.running;
  call->running = true;
  const double draw = std::exponential_distribution<double>(1)(rng_);
  const double mean = Seconds(server.plan.mean_service_time) *
                      (server.is_slow ? server.plan.slowdown_factor : 1);
  double service_time = mean * (0.5 + 0.5 * std::min(draw, 5.0));
  if (call->prefix != 0) {
    const double prefill = kPrefillShare * mean;
    const bool hit = TouchPrefix(server, call->prefix);
    service_time += hit ? -std::min(prefill, service_time) : 0;
    const double first_token_delay = hit ? 0 : std::min(prefill, service_time);
    Schedule(
        now_ + Duration(static_cast<std::int64_t>(first_token_delay * 1e6)),
        [this, call] { SendFirstToken(call); });
  }
  Schedule(now_ + Duration(static_cast<std::int64_t>(service_time * 1e6)),
           [this, call] {
             if (call->ended) {
               return;
             }
             ReleaseSlot(*call->server);
             call->running = false;
             EndCall(call, kStatusOk);
           });
}

bool LoadModel::TouchPrefix(FakeServer& server, std::uint64_t prefix) {
  const auto found = std::ranges::find(server.cache, prefix);
  const bool hit = found != server.cache.end();
  ++outcome_.prefix_requests;
  outcome_.prefix_hits += hit ? 1 : 0;
  if (hit) {
    server.cache.erase(found);
  }
  server.cache.push_front(prefix);
  std::vector<std::uint64_t> removed;
  if (server.cache.size() > plan_.prefix_cache_capacity) {
    removed.push_back(server.cache.back());
    server.cache.pop_back();
  }
  if (!hit) {
    PublishCacheEvent(server, prefix, std::move(removed));
  }
  return hit;
}

void LoadModel::PublishCacheEvent(FakeServer& server,
                                  std::uint64_t added,
                                  std::vector<std::uint64_t> removed) {
  ++server.sequence;
  if (std::uniform_real_distribution<double>(0, 1)(rng_) <
      plan_.event_loss_ratio) {
    return;
  }
  Schedule(now_ + kCacheEventDelay, [this, name = server.record.name, added,
                                     removed = std::move(removed),
                                     sequence = server.sequence] {
    for (const auto& daemon : daemons_) {
      daemon->caches.OnEvent({name, 1, sequence, {&added, 1}, removed});
    }
  });
}

void LoadModel::ReleaseSlot(FakeServer& server) {
  --server.running;
  while (!server.queue.empty()) {
    const std::shared_ptr<Call> next = server.queue.front();
    server.queue.pop_front();
    if (!next->ended) {
      StartService(next);
      return;
    }
  }
}

void LoadModel::EndCall(const std::shared_ptr<Call>& call, int status) {
  const std::uint32_t load = LaggingLoad(*call->server);
  Schedule(now_ + Latency(*call->daemon, *call->server),
           [this, call, status, load] {
             if (call->ended) {
               return;
             }
             call->ended = true;
             call->daemon->calls.erase(call->attempt);
             AttemptAnswer answer;
             answer.attempt = call->attempt;
             answer.echoed = call->attempt;
             answer.status = status;
             answer.body = "{}";
             answer.load = load;
             answer.has_load = true;
             call->daemon->coordinator.OnAnswer(now_, std::move(answer));
             ExecuteActions(*call->daemon);
           });
}

}  // namespace gentianroute::bench
