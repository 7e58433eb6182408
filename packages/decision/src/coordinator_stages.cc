// Stages and starting their calls. The results of calls are handled in
// coordinator_answers.cc; admission, completion and timers in coordinator.cc.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/base/json_text.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

/// A request stops waiting for an isolated server when the time left to its
/// deadline is this many times its expected remaining duration.
constexpr int kIsolationReserveFactor = 2;

}  // namespace

void Coordinator::EnterStage(TimePoint now, Request& request) {
  request.tried_servers.clear();
  request.stage_maybe_run = false;
  request.attempts_made = 0;
  request.attempts_exempted = 0;
  request.connect_failures = 0;
  request.offset = 0;
  request.streamed.clear();
  request.reports.push_back({request.stage().name});
  Enqueue(now, request);
}

void Coordinator::Enqueue(TimePoint now, Request& request) {
  const StageSpec& stage = request.stage();
  request.phase = RequestPhase::kQueued;
  request.queued_at = now;
  request.isolation_deadline = std::min(
      now + (request.deadline - now) / 2,
      request.deadline - kIsolationReserveFactor * ExpectedRemaining(request));
  request.isolation_timer_armed = false;
  FairQueue& queue =
      queues_.try_emplace(stage.pool, usage_, options_.queue_order)
          .first->second;
  queue.Push(WaiterOf(request, stage));
  if (options_.refuse_early) {
    Arm(now, TimerKind::kLatestStart, request.id.value);
  }
  const std::string pool = stage.pool;
  Dispatch(now, pool);
  if (options_.refuse_early) {
    Shed(now, pool);  // may finish and destroy `request`
  }
}

FairQueue::Waiter Coordinator::WaiterOf(const Request& request,
                                        const StageSpec& stage) const {
  const Submission& submission = request.submission;
  return {request.id, submission.organisation, submission.subscriber,
          submission.weight, Seconds(ExpectedDuration(stage))};
}

void Coordinator::Shed(TimePoint now, std::string_view pool) {
  FairQueue& queue = queues_.find(pool)->second;
  const WaitEstimator& estimator =
      wait_estimators_.try_emplace(std::string(pool)).first->second;
  // The waiter of lowest priority is served after all others. It is refused as
  // soon as that wait exceeds its deadline. Otherwise the queue would grow
  // until all requests in it miss their deadlines, also those of light users.
  while (const FairQueue::Waiter* lowest = queue.LowestPriority(now)) {
    Request& request = requests_.at(lowest->request);
    const TimePoint latest = request.deadline - ExpectedRemaining(request);
    if (now + estimator.EstimateWait(queue.size()) <= latest ||
        request.EffectMayHaveRun()) {
      return;
    }
    const ErrorKind kind = request.MayHaveRun() ? ErrorKind::kDeadlineExceeded
                                                : ErrorKind::kOverloaded;
    Finish(now, request, kind, "those before it take longer than its deadline",
           {}, false);
  }
}

void Coordinator::BackOff(TimePoint now, Request& request) {
  // A call that could not connect did not run and doesn't count as an attempt.
  // While all servers of a pool restart, they refuse connections within
  // milliseconds; failing then would lose a request with seconds left.
  constexpr Duration kInitialDelay = std::chrono::milliseconds(20);
  constexpr std::uint32_t kMaxDoublings = 4;
  --request.attempts_made;
  const std::uint32_t failures = ++request.connect_failures;
  if (failures < request.stage().max_attempts) {
    Enqueue(now, request);
    return;
  }
  const std::uint32_t doublings =
      std::min(failures - request.stage().max_attempts, kMaxDoublings);
  request.phase = RequestPhase::kQueued;
  request.tried_servers.clear();
  Arm(now + kInitialDelay * (1 << doublings), TimerKind::kBackOff,
      request.id.value);
}

void Coordinator::OnBackOff(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  GR_INVARIANT(request.phase == RequestPhase::kQueued);
  if (suspects_.IsQuarantinePending(now, request.submission.fingerprint)) {
    Arm(now + kHeldRetryInterval, TimerKind::kBackOff, id);
    return;
  }
  Enqueue(now, request);
}

void Coordinator::Start(TimePoint now, Request& request, ServerRef server) {
  const StageSpec& stage = request.stage();
  // At most once: a stage that must not be repeated is only called if no
  // earlier call of it may have run and, for a request with a key, the claim
  // has been confirmed by the table service.
  GR_INVARIANT(stage.MayRepeat() || !request.stage_maybe_run);
  GR_INVARIANT(request.claim_token.empty() || request.claim_confirmed);
  GR_INVARIANT(server->IsAccepting());
  GR_INVARIANT(now < request.deadline);

  const AttemptId id{next_attempt_++};
  Attempt& attempt = attempts_[id];
  attempt.id = id;
  attempt.request = request.id;
  attempt.fingerprint = request.submission.fingerprint;
  attempt.stage_index = request.stage_index;
  attempt.server = server;
  attempt.started = now;
  attempt.next_byte_deadline = now + stage.first_byte_timeout;
  attempt.suspect = suspects_.IsSuspect(now, attempt.fingerprint);
  ++running_[attempt.fingerprint];
  if (attempt.suspect) {
    suspect_servers_.push_back(server);
    reservations_.erase(stage.pool);
  }
  attempts_by_server_[server.get()].push_back(attempt);
  servers_.OnStart(*server);
  ++counters_.attempts;

  request.phase = RequestPhase::kRunning;
  request.attempts.push_back(id);
  request.tried_servers.push_back(server);
  ++request.attempts_made;
  StageReport& report = request.reports.back();
  report.attempts = request.attempts_made;
  report.queued += now - request.queued_at;

  Arm(attempt.next_byte_deadline, TimerKind::kNextByteTimeout, id.value);
  if (stage.hedge_after.count() > 0 && stage.MayRepeat()) {
    Arm(now + stage.hedge_after, TimerKind::kHedge, id.value);
  }
  StartAttempt start;
  start.attempt = id;
  start.request = request.id;
  start.server = std::move(server);
  start.profile = request.profile;
  start.stage_index = request.stage_index;
  start.input = StageInput(request);
  attempt.billed_bytes =
      servers_.CrossesRegions(*start.server) ? start.input.size() : 0;
  start.key = request.submission.key;
  start.trace_parent = request.submission.trace_parent;
  start.remaining = request.deadline - now;
  start.resume_offset = request.offset;
  start.fresh_connection = !stage.repeatable;
  actions_.push_back(std::move(start));
}

std::string Coordinator::StageInput(const Request& request) const {
  std::string input = R"({"request":)" + request.submission.body;
  for (std::size_t i = 0; i < request.results.size(); ++i) {
    input += "," + EncodeJson(request.profile->stages[i].name) + ":" +
             request.results[i];
  }
  return input + "}";
}

void Coordinator::OnWritten(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  GR_INVARIANT(!attempt.written);
  attempt.written = true;
  Request& request = requests_.at(attempt.request);
  ++request.calls_maybe_run;
  request.stage_maybe_run = true;
  request.effects_maybe_run += request.stage().repeatable ? 0 : 1;
  request.reports.back().billed_bytes += attempt.billed_bytes;
}

void Coordinator::CountReceived(const Attempt& attempt, std::uint64_t bytes) {
  if (servers_.CrossesRegions(*attempt.server)) {
    requests_.at(attempt.request).reports.back().billed_bytes += bytes;
  }
}

Attempt Coordinator::RemoveAttempt(AttemptId id) {
  const auto found = attempts_.find(id);
  GR_INVARIANT(found != attempts_.end());
  Attempt& attempt = found->second;
  attempt.unlink();
  const auto at_server = attempts_by_server_.find(attempt.server.get());
  if (at_server->second.empty()) {
    attempts_by_server_.erase(at_server);
  }
  Request& request = requests_.at(attempt.request);
  std::erase(request.attempts, id);
  const auto running = running_.find(attempt.fingerprint);
  if (--running->second == 0) {
    running_.erase(running);
  }
  freed_pools_.insert(request.profile->stages[attempt.stage_index].pool);
  if (attempt.suspect) {
    suspect_servers_.erase(std::ranges::find(suspect_servers_, attempt.server));
  }
  if (suspects_.HasSuspects()) {
    // Suspects in any pool may have been waiting for this call to end.
    for (const auto& [pool, queue] : queues_) {
      freed_pools_.insert(pool);
    }
  }
  Attempt detached = attempt;
  attempts_.erase(found);
  return detached;
}

void Coordinator::CancelAll(Request& request) {
  CancelOthers(request, AttemptId{});
}

void Coordinator::CancelOthers(Request& request, AttemptId winner) {
  const std::vector<AttemptId> attempts = request.attempts;
  for (const AttemptId id : attempts) {
    if (id == winner) {
      continue;
    }
    const Attempt attempt = RemoveAttempt(id);
    servers_.OnCancelled(*attempt.server);
    actions_.push_back(CancelAttempt{attempt.id, attempt.server, false, {}});
  }
}

void Coordinator::OnServersChanged(TimePoint now) {
  if (suspects_.HasSuspects()) {
    for (const auto& [name, server] : servers_.servers()) {
      suspects_.OnIncarnation(now, name, server->host.incarnation);
    }
  }
  std::vector<std::string> pools;
  for (const auto& [pool, queue] : queues_) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    Dispatch(now, pool);
  }
}

}  // namespace gentianroute
