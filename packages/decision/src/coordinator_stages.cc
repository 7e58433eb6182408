// Stages and calls of the coordinator; coordinator.cc has admission, claims,
// ends and timers.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
constexpr double kMeasureWeight = 0.1;
/// How often a request that waits for proof of a crash is looked at again.
constexpr Duration kAccusedRetry = std::chrono::milliseconds(200);
/// Expected times that must be left when a request stops waiting for a server
/// by itself, or for one without a suspect.
constexpr int kRestKept = 2;

std::string QuoteText(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

AttemptFailure FailureOf(const AttemptAnswer& answer) {
  if (answer.leaving && answer.not_run) {
    return AttemptFailure::kLeaving;
  }
  if (answer.not_run) {
    return AttemptFailure::kRefused;
  }
  return answer.status >= kFirstServerError ? AttemptFailure::kServerError
                                            : AttemptFailure::kRejected;
}

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
  if (suspects_.IsAccused(now, request.submission.fingerprint)) {
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
  GR_INVARIANT(server->Accepts());
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
    input += "," + QuoteText(request.profile->stages[i].name) + ":" +
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

void Coordinator::OnAnswer(TimePoint now, AttemptAnswer answer) {
  const auto found = attempts_.find(answer.attempt);
  if (found == attempts_.end()) {
    ++counters_.late_answers;
    return;
  }
  CountReceived(found->second, answer.received);
  if (answer.echoed != answer.attempt) {
    // Another request's answer: handing it on would show one family's letter
    // to another. The connection is closed, since its order is lost.
    ++counters_.crossed_answers;
    OnFailure(now, answer.attempt, AttemptFailure::kCrossed,
              "the answer names another attempt");
    return;
  }
  OnSignOfLife(now, found->second);
  Server& server = *found->second.server;
  if (answer.has_load) {
    servers_.OnLoadReport(now, server, answer.load);
  }
  if (answer.leaving) {
    servers_.MarkLeaving(server.host.name, server.host.incarnation);
  }
  if (answer.status != kStatusOk) {
    OnFailure(now, answer.attempt, FailureOf(answer),
              "status " + std::to_string(answer.status));
    return;
  }
  const Attempt attempt = Detach(answer.attempt);
  servers_.OnSuccess(now, server, now - attempt.started);
  Request& request = requests_.at(attempt.request);
  BudgetOf(request.stage().pool).OnSuccess();
  std::string result = request.stage().streams ? QuoteText(request.streamed)
                                               : std::move(answer.body);
  CompleteStage(now, request, std::move(result), answer, attempt);
  DispatchFreed(now);
}

void Coordinator::CompleteStage(TimePoint now,
                                Request& request,
                                std::string result,
                                const AttemptAnswer& answer,
                                const Attempt& attempt) {
  CancelAll(request);  // the other side of a hedge
  const StageSpec& stage = request.stage();
  StageReport& report = request.reports.back();
  report.took = now - request.queued_at - report.queued;
  report.units = answer.units;
  report.cost = stage.cost_per_call * report.attempts +
                stage.cost_per_unit * static_cast<std::int64_t>(answer.units);
  const Duration took = now - attempt.started;
  Duration& measured = measured_.try_emplace(stage.pool, took).first->second;
  measured += Duration(static_cast<std::int64_t>(
      kMeasureWeight * static_cast<double>((took - measured).count())));
  usage_.Charge(now, request.submission.organisation,
                request.submission.subscriber,
                Seconds(took) - Seconds(measured));
  request.results.push_back(std::move(result));
  if (request.OnLastStage()) {
    // Only the whole request clears it: an answered first stage says nothing of
    // the stage at which servers crash.
    suspects_.OnAnswered(attempt.fingerprint);
    std::string body = std::move(request.results.back());
    Finish(now, request, std::nullopt, {}, std::move(body), false);
    return;
  }
  ++request.stage_index;
  EnterStage(now, request);
}

void Coordinator::OnChunk(TimePoint now, AttemptChunk chunk) {
  const auto found = attempts_.find(chunk.attempt);
  if (found == attempts_.end()) {
    ++counters_.late_answers;
    return;
  }
  CountReceived(found->second, chunk.received);
  if (chunk.echoed != chunk.attempt) {
    ++counters_.crossed_answers;
    OnFailure(now, chunk.attempt, AttemptFailure::kCrossed,
              "the stream names another attempt");
    return;
  }
  Attempt& attempt = found->second;
  OnSignOfLife(now, attempt);
  Request& request = requests_.at(attempt.request);
  attempt.silent_at = now + request.stage().first_byte_timeout;
  Arm(attempt.silent_at, TimerKind::kSilence, attempt.id.value);
  if (chunk.offset < request.offset) {
    ++counters_.duplicate_tokens;  // resumed a little early, or hedged
    return;
  }
  if (chunk.offset > request.offset) {
    OnFailure(now, chunk.attempt, AttemptFailure::kGap,
              "the stream skipped tokens");
    return;
  }
  ++request.offset;
  request.streamed += chunk.text;
  // One text comes from one engine: the other side of a hedge may word it
  // differently, and its tokens would be mixed in.
  CancelOthers(request, chunk.attempt);
  DispatchFreed(now);
  if (!request.OnLastStage()) {
    return;
  }
  if (request.first_token_at == TimePoint{}) {
    request.first_token_at = now;
  }
  if (request.submission.wants_stream) {
    actions_.push_back(
        DeliverChunk{request.id, chunk.offset, std::move(chunk.text)});
  }
}

void Coordinator::OnFailure(TimePoint now,
                            AttemptId id,
                            AttemptFailure failure,
                            std::string_view detail) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  if (failure == AttemptFailure::kConnect && found->second.written) {
    // Bytes went out, so "no connection" can't mean that nothing ran.
    failure = AttemptFailure::kReset;
  }
  const FailureMeaning& meaning = MeaningOf(failure);
  if (failure == AttemptFailure::kReset && found->second.written) {
    OnReset(now, found->second);
  }
  if (failure == AttemptFailure::kConnect) {
    suspects_.OnServerDown(now, found->second.server->host.name);
  }
  const Attempt attempt = Detach(id);
  Server& server = *attempt.server;
  if (meaning.blames_server) {
    servers_.OnFailure(now, server, failure == AttemptFailure::kConnect);
  } else {
    servers_.OnCancelled(server);
  }
  if (failure == AttemptFailure::kLeaving) {
    servers_.MarkLeaving(server.host.name, server.host.incarnation);
  }
  actions_.push_back(
      CancelAttempt{id, attempt.server, meaning.condemns_others,
                    std::string(meaning.name) + ": " + std::string(detail)});
  Request& request = requests_.at(attempt.request);
  if (attempt.written && !meaning.may_have_run) {
    // The server says that it ran nothing, so this call has no effect.
    --request.calls_maybe_run;
    request.effects_maybe_run -= request.stage().repeatable ? 0 : 1;
    request.stage_maybe_run = request.stage().MayRepeat();
  }
  if (attempt.crashed_beside_suspect && failure == AttemptFailure::kReset) {
    // The other one's crash. Counted here, a neighbour that meets all crashes
    // of the guilty one would be lost with it. What keeps a guilty neighbour
    // from crashing on is quarantine, which counts each crash of everyone.
    ++request.attempts_excused;
  }
  if (request.attempts.empty()) {  // otherwise the hedge goes on
    Retry(now, request, failure, detail);
  }
  DispatchFreed(now);
}

RetryBudget& Coordinator::BudgetOf(const std::string& pool) {
  return budgets_.try_emplace(pool, options_.retry_budget).first->second;
}

void Coordinator::Retry(TimePoint now,
                        Request& request,
                        AttemptFailure failure,
                        std::string_view detail) {
  const StageSpec& stage = request.stage();
  const FailureMeaning& meaning = MeaningOf(failure);
  const bool harmless = !meaning.may_have_run || stage.MayRepeat();
  const bool quarantined =
      suspects_.IsQuarantined(now, request.submission.fingerprint);
  bool again =
      harmless && meaning.worth_repeating && !quarantined &&
      request.attempts_made - request.attempts_excused < stage.max_attempts;
  // A crash hits a whole batch at once, and until health notices, the server
  // that is down refuses connections faster than the live ones answer. Innocent
  // requests must not be lost to an empty budget for either: isolation bounds
  // the calls after a crash, and a call without a connection loads no server.
  const bool free = failure == AttemptFailure::kReset ||
                    failure == AttemptFailure::kConnect ||
                    failure == AttemptFailure::kLeaving;
  if (again && !free && !BudgetOf(stage.pool).TryTake()) {
    ++counters_.retries_denied;
    again = false;
  }
  if (failure == AttemptFailure::kConnect && !quarantined) {
    ++counters_.retries;
    BackOff(now, request);
    return;
  }
  if (again && suspects_.IsAccused(now, request.submission.fingerprint)) {
    ++counters_.retries;
    request.phase = RequestPhase::kQueued;
    Arm(now + kAccusedRetry, TimerKind::kBackOff, request.id.value);
    return;
  }
  if (again) {
    ++counters_.retries;
    counters_.resumed_streams += request.offset > 0 ? 1 : 0;
    Enqueue(now, request);
    return;
  }
  Finish(now, request, KindOfFailure(request, failure),
         "stage '" + stage.name + "' failed " +
             std::to_string(request.attempts_made) + " times, last: " +
             MeaningOf(failure).name + ": " + std::string(detail),
         {}, false);
}

ErrorKind Coordinator::KindOfFailure(const Request& request,
                                     AttemptFailure /*failure*/) const {
  if (request.EffectMayHaveRun()) {
    return ErrorKind::kOutcomeUnknown;
  }
  if (!request.MayHaveRun()) {
    return ErrorKind::kNoServer;
  }
  return request.offset > 0 ? ErrorKind::kStreamBroken
                            : ErrorKind::kStageFailed;
}

void Coordinator::OnSilence(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(AttemptId{id});
  if (found == attempts_.end() || found->second.silent_at > now) {
    return;
  }
  OnFailure(now, AttemptId{id}, AttemptFailure::kTimeout, "no byte in time");
}

void Coordinator::OnHedge(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(AttemptId{id});
  if (found == attempts_.end()) {
    return;
  }
  Request& request = requests_.at(found->second.request);
  const bool alone = request.attempts.size() == 1;
  if (!alone || request.offset > 0 || found->second.suspect ||
      request.attempts_made >= request.stage().max_attempts) {
    return;
  }
  ServerRef server;
  // After a pause this timer may run before the deadline's.
  if (IsPastHope(now, request) || IsHeld(now, request) ||
      !MayGo(now, request, server) || server == found->second.server) {
    return;
  }
  if (!BudgetOf(request.stage().pool).TryTake()) {
    return;
  }
  ++counters_.hedges;
  Start(now, request, std::move(server));
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
