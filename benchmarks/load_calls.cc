#include <utility>

#include "load_model_internal.h"

namespace gentianroute::bench {
Duration LoadModel::Latency(const Daemon& daemon,
                            const FakeServer& server) const {
  return daemon.region == server.record.region ? kIntraRegionLatency
                                               : kInterRegionLatency;
}

void LoadModel::Execute(Daemon& daemon, StartAttempt& start) {
  auto call = std::make_shared<Call>();
  call->daemon = &daemon;
  call->server = servers_.at(start.server->host.name).get();
  call->attempt = start.attempt;
  call->bytes = start.input.size();
  if (start.stage().streams) {
    call->prefix = daemon.coordinator.Find(start.request)->submission.prefix;
  }
  daemon.calls[start.attempt] = call;
  daemon.coordinator.OnWritten(start.attempt);
  if (now_ >= TimePoint{} + plan_.warm_up) {
    CountCost(daemon, *call, start.stage());
  }
  Schedule(now_ + Latency(daemon, *call->server),
           [this, call] { OnArrival(call); });
}

void LoadModel::Execute(Daemon& daemon, CancelAttempt& cancel) {
  const auto found = daemon.calls.find(cancel.attempt);
  if (found == daemon.calls.end()) {
    return;
  }
  const std::shared_ptr<Call> call = found->second;
  daemon.calls.erase(found);
  call->ended = true;
  if (call->running) {
    ReleaseSlot(*call->server);
  }
}

void LoadModel::CountCost(const Daemon& daemon,
                          const Call& call,
                          const StageSpec& stage) {
  ++outcome_.calls;
  outcome_.stage_cost[stage.name] += stage.cost_per_call;
  outcome_.all.cost += stage.cost_per_call;
  if (daemon.region == call.server->record.region) {
    return;
  }
  outcome_.billed_bytes += call.bytes;
  outcome_.all.cost += static_cast<std::int64_t>(
      static_cast<double>(call.bytes) * plan_.micro_euros_per_byte);
}

void LoadModel::SendFirstToken(const std::shared_ptr<Call>& call) {
  Schedule(now_ + Latency(*call->daemon, *call->server), [this, call] {
    if (call->ended) {
      return;
    }
    call->daemon->coordinator.OnChunk(now_,
                                      {call->attempt, call->attempt, 0, "a"});
    ExecuteActions(*call->daemon);
  });
}

}  // namespace gentianroute::bench
