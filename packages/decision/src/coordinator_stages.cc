// Stages and the calls that they start; coordinator_answers.cc has what becomes
// of a call, coordinator.cc admission, ends and timers.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/decision/detail/json_text.h"

namespace gentianroute {
namespace {

/// Expected times that must be left when a request stops waiting for a server
/// by itself, or for one without a suspect.
constexpr int kRestKept = 2;

}  // namespace

void Coordinator::EnterStage(TimePoint now, Request& request) {
  request.tried.clear();
  request.stage_maybe_run = false;
  request.attempts_made = 0;
  request.attempts_excused = 0;
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
  request.isolate_until =
      std::min(now + (request.deadline - now) / 2,
               request.deadline - kRestKept * ExpectedRest(request));
  request.isolation_timed = false;
  FairQueue& queue =
      queues_.try_emplace(stage.pool, usage_, options_.queue_order)
          .first->second;
  queue.Push(WaiterOf(request, stage));
  if (options_.refuse_early) {
    Arm(now, TimerKind::kTooLate, request.id.value);
  }
  const std::string pool = stage.pool;
  Dispatch(now, pool);
  if (options_.refuse_early) {
    Shed(now, pool);  // may end this request
  }
}

FairQueue::Waiter Coordinator::WaiterOf(const Request& request,
                                        const StageSpec& stage) const {
  const Submission& submission = request.submission;
  return {request.id, submission.organisation, submission.subscriber,
          submission.weight, Seconds(Expected(stage))};
}

void Coordinator::Shed(TimePoint now, std::string_view pool) {
  FairQueue& queue = queues_.find(pool)->second;
  const DispatchPace& pace =
      paces_.try_emplace(std::string(pool)).first->second;
  // The worst one goes last, so it waits for all the others. Once that takes
  // longer than its deadline allows it is told so at once. Without this the
  // line grows until everybody in it, light ones too, goes just too late.
  while (const FairQueue::Waiter* worst = queue.Worst(now)) {
    Request& request = requests_.at(worst->request);
    const TimePoint latest = request.deadline - ExpectedRest(request);
    if (now + pace.WaitFor(queue.size()) <= latest ||
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
  // Nothing ran, so a call without a connection uses up no attempt. While all
  // servers of a pool restart they refuse within milliseconds; giving up then
  // would lose a request whose deadline is seconds away.
  constexpr Duration kFirst = std::chrono::milliseconds(20);
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
  request.tried.clear();
  Arm(now + kFirst * (1 << doublings), TimerKind::kBackOff, request.id.value);
}

void Coordinator::OnBackOff(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  GR_INVARIANT(request.phase == RequestPhase::kQueued);
  if (suspects_.IsQuarantinePending(now, request.submission.fingerprint)) {
    Arm(now + kAccusedRetry, TimerKind::kBackOff, id);
    return;
  }
  Enqueue(now, request);
}

void Coordinator::Start(TimePoint now, Request& request, ServerRef server) {
  const StageSpec& stage = request.stage();
  // At most once: a stage that must not repeat leaves the daemon only while no
  // earlier call of it may have run, and, with a key, only under a claim that
  // the store confirmed.
  GR_INVARIANT(stage.MayRepeat() || !request.stage_maybe_run);
  GR_INVARIANT(request.claim_token.empty() || request.claim_stands);
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
  attempt.silent_at = now + stage.first_byte_timeout;
  attempt.suspect = suspects_.IsSuspect(now, attempt.fingerprint);
  ++running_[attempt.fingerprint];
  if (attempt.suspect) {
    suspect_servers_.push_back(server);
    reservations_.erase(stage.pool);
  }
  at_server_[server.get()].push_back(attempt);
  servers_.OnStart(*server);
  ++counters_.attempts;

  request.phase = RequestPhase::kRunning;
  request.attempts.push_back(id);
  request.tried.push_back(server);
  ++request.attempts_made;
  StageReport& report = request.reports.back();
  report.attempts = request.attempts_made;
  report.queued += now - request.queued_at;

  Arm(attempt.silent_at, TimerKind::kSilence, id.value);
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
    input += "," + detail::QuoteText(request.profile->stages[i].name) + ":" +
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

Attempt Coordinator::Detach(AttemptId id) {
  const auto found = attempts_.find(id);
  GR_INVARIANT(found != attempts_.end());
  Attempt& attempt = found->second;
  attempt.unlink();
  const auto at_server = at_server_.find(attempt.server.get());
  if (at_server->second.empty()) {
    at_server_.erase(at_server);
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
    // Suspects of any pool may have waited for this one.
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
    const Attempt attempt = Detach(id);
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
