#include <algorithm>
#include <random>
#include <utility>

#include "load_parts.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;

constexpr Duration kEventsLate = milliseconds(500);
/// Share of an engine's mean time that reading an uncached prefix takes.
constexpr double kPrefillShare = 0.4;
constexpr Duration kFailsAfter = milliseconds(5);
constexpr int kStatusOk = 200;
constexpr int kStatusFailed = 500;

}  // namespace

void LoadModel::Arrive(const std::shared_ptr<Call>& call) {
  if (call->over) {
    return;
  }
  FakeServer& server = *call->server;
  const TimePoint from = TimePoint{} + server.plan.fails_from;
  const TimePoint until = TimePoint{} + server.plan.fails_until;
  if (now_ >= from && now_ < until) {
    if (server.plan.hangs) {
      return;
    }
    At(now_ + kFailsAfter, [this, call] { EndCall(call, kStatusFailed); });
    return;
  }
  if (server.running >= server.record.slots) {
    server.line.push_back(call);
    return;
  }
  Serve(call);
}

void LoadModel::Serve(const std::shared_ptr<Call>& call) {
  FakeServer& server = *call->server;
  ++server.running;
  call->running = true;
  const double spread = std::exponential_distribution<double>(1)(rng_);
  const double mean =
      Seconds(server.plan.mean) * (server.slow ? server.plan.slowness : 1);
  double took = mean * (0.5 + 0.5 * std::min(spread, 5.0));
  if (call->prefix != 0) {
    const double prefill = kPrefillShare * mean;
    const bool hit = TouchPrefix(server, call->prefix);
    took += hit ? -std::min(prefill, took) : 0;
    const double first = hit ? 0 : std::min(prefill, took);
    At(now_ + Duration(static_cast<std::int64_t>(first * 1e6)),
       [this, call] { SendFirstToken(call); });
  }
  At(now_ + Duration(static_cast<std::int64_t>(took * 1e6)), [this, call] {
    if (call->over) {
      return;
    }
    Leave(*call->server);
    call->running = false;
    EndCall(call, kStatusOk);
  });
}

bool LoadModel::TouchPrefix(FakeServer& server, std::uint64_t prefix) {
  const auto found = std::ranges::find(server.cache, prefix);
  const bool hit = found != server.cache.end();
  ++outcome_.prefix_served;
  outcome_.prefix_hits += hit ? 1 : 0;
  if (hit) {
    server.cache.erase(found);
  }
  server.cache.push_front(prefix);
  std::vector<std::uint64_t> removed;
  if (server.cache.size() > plan_.cached) {
    removed.push_back(server.cache.back());
    server.cache.pop_back();
  }
  if (!hit) {
    Publish(server, prefix, std::move(removed));
  }
  return hit;
}

void LoadModel::Publish(FakeServer& server,
                        std::uint64_t added,
                        std::vector<std::uint64_t> removed) {
  ++server.sequence;
  if (std::uniform_real_distribution<double>(0, 1)(rng_) < plan_.events_lost) {
    return;
  }
  At(now_ + kEventsLate,
     [this, name = server.record.name, added, removed = std::move(removed),
      sequence = server.sequence] {
       for (const auto& daemon : daemons_) {
         daemon->caches.OnEvent({name, 1, sequence, {&added, 1}, removed});
       }
     });
}

void LoadModel::Leave(FakeServer& server) {
  --server.running;
  while (!server.line.empty()) {
    const std::shared_ptr<Call> next = server.line.front();
    server.line.pop_front();
    if (!next->over) {
      Serve(next);
      return;
    }
  }
}

void LoadModel::EndCall(const std::shared_ptr<Call>& call, int status) {
  const std::uint32_t load = LaggingLoad(*call->server);
  At(now_ + Latency(*call->daemon, *call->server), [this, call, status, load] {
    if (call->over) {
      return;
    }
    call->over = true;
    call->daemon->calls.erase(call->attempt);
    AttemptAnswer answer;
    answer.attempt = call->attempt;
    answer.echoed = call->attempt;
    answer.status = status;
    answer.body = "{}";
    answer.load = load;
    answer.has_load = true;
    call->daemon->coordinator.OnAnswer(now_, std::move(answer));
    Drain(*call->daemon);
  });
}

}  // namespace gentianroute::bench
