// Answers, streams, failures, timeouts and hedges of calls.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/base/json_text.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
constexpr double kDurationWeight = 0.1;

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

void Coordinator::OnAnswer(TimePoint now, AttemptAnswer answer) {
  const auto found = attempts_.find(answer.attempt);
  if (found == attempts_.end()) {
    ++counters_.late_answers;
    return;
  }
  CountReceived(found->second, answer.received);
  if (answer.echoed != answer.attempt) {
    // The answer belongs to another request; passing it on would disclose that
    // request's data to this caller. The connection is closed, since its
    // answers no longer match its calls.
    ++counters_.crossed_answers;
    OnFailure(now, answer.attempt, AttemptFailure::kCrossed,
              "the answer names another attempt");
    return;
  }
  OnServerResponding(now, found->second);
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
  const Attempt attempt = RemoveAttempt(answer.attempt);
  servers_.OnSuccess(now, server, now - attempt.started);
  Request& request = requests_.at(attempt.request);
  RetryBudgetOf(request.stage().pool).OnSuccess();
  pool_health_[request.stage().pool].OnAnswer();
  std::string result = request.stage().streams ? EncodeJson(request.streamed)
                                               : std::move(answer.body);
  CompleteStage(now, request, std::move(result), answer, attempt);
  DispatchFreedPools(now);
}

void Coordinator::CompleteStage(TimePoint now,
                                Request& request,
                                std::string result,
                                const AttemptAnswer& answer,
                                const Attempt& attempt) {
  CancelAll(request);  // the other attempt of a hedge
  const StageSpec& stage = request.stage();
  StageReport& report = request.reports.back();
  report.took = now - request.queued_at - report.queued;
  report.units = answer.units;
  report.cost = stage.cost_per_call * report.attempts +
                stage.cost_per_unit * static_cast<std::int64_t>(answer.units);
  const Duration took = now - attempt.started;
  Duration& measured =
      mean_call_durations_.try_emplace(stage.pool, took).first->second;
  measured += Duration(static_cast<std::int64_t>(
      kDurationWeight * static_cast<double>((took - measured).count())));
  usage_.Charge(now, request.submission.organisation,
                request.submission.subscriber,
                Seconds(took) - Seconds(measured));
  request.results.push_back(std::move(result));
  if (request.IsOnLastStage()) {
    // Only a completed request is cleared: the answer of an early stage doesn't
    // show that a later stage won't crash its server.
    suspects_.OnAnswered(now, attempt.fingerprint);
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
  OnServerResponding(now, attempt);
  Request& request = requests_.at(attempt.request);
  attempt.next_byte_deadline = now + request.stage().first_byte_timeout;
  if (chunk.offset < request.offset) {
    ++counters_.duplicate_tokens;  // resumed at an earlier token, or hedged
    return;
  }
  if (chunk.offset > request.offset) {
    OnFailure(now, chunk.attempt, AttemptFailure::kGap,
              "the stream skipped tokens");
    return;
  }
  if (request.offset == 0) {
    pool_health_[request.stage().pool].OnAnswer();
  }
  ++request.offset;
  request.streamed += chunk.text;
  // All tokens must come from one server: the other attempt of a hedge may
  // generate a different text, and their tokens would be mixed.
  CancelOthers(request, chunk.attempt);
  DispatchFreedPools(now);
  if (!request.IsOnLastStage()) {
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
    // Bytes were written, so the server may have run the call.
    failure = AttemptFailure::kReset;
  }
  const FailureTraits& traits = TraitsOf(failure);
  if (failure == AttemptFailure::kReset && found->second.written) {
    OnReset(now, found->second);
  }
  if (failure == AttemptFailure::kConnect) {
    suspects_.OnServerDown(now, found->second.server->host.name);
  }
  const Attempt attempt = RemoveAttempt(id);
  Server& server = *attempt.server;
  PoolHealth& health = pool_health_[server.host.pool];
  if (traits.counts_against_server) {
    servers_.OnFailure(now, server, failure == AttemptFailure::kConnect);
    health.OnFailure(now);
  } else {
    servers_.OnCancelled(server);
    health.OnAnswer();
  }
  if (failure == AttemptFailure::kLeaving) {
    servers_.MarkLeaving(server.host.name, server.host.incarnation);
  }
  actions_.push_back(
      CancelAttempt{id, attempt.server, traits.invalidates_connections,
                    std::string(traits.name) + ": " + std::string(detail)});
  Request& request = requests_.at(attempt.request);
  if (attempt.written && !traits.may_have_run) {
    // The server reports that it did not run the call, so it has no effect.
    --request.calls_maybe_run;
    request.effects_maybe_run -= request.stage().repeatable ? 0 : 1;
    request.stage_maybe_run = request.stage().MayRepeat();
  }
  if (attempt.crashed_beside_suspect && failure == AttemptFailure::kReset) {
    // Another request may have caused the crash. If such attempts counted, a
    // request that happens to share all its servers would fail with it. A
    // request that does crash servers is stopped by quarantine, which counts
    // the crashes of all.
    ++request.attempts_exempted;
  }
  if (request.attempts.empty()) {  // else the other attempt continues
    Retry(now, request, failure, detail);
  }
  DispatchFreedPools(now);
}

RetryBudget& Coordinator::RetryBudgetOf(const std::string& pool) {
  return budgets_.try_emplace(pool, options_.retry_budget).first->second;
}

void Coordinator::Retry(TimePoint now,
                        Request& request,
                        AttemptFailure failure,
                        std::string_view detail) {
  const StageSpec& stage = request.stage();
  const FailureTraits& traits = TraitsOf(failure);
  const bool can_repeat = !traits.may_have_run || stage.MayRepeat();
  const bool quarantined =
      suspects_.IsQuarantined(now, request.submission.fingerprint);
  bool retry =
      can_repeat && traits.retryable && !quarantined &&
      request.attempts_made - request.attempts_exempted < stage.max_attempts;
  // Some failures don't use the budget. A crash ends a whole batch at once, and
  // until its health shows it, a server that is down refuses connections faster
  // than the others answer; requests must not fail for lack of budget then.
  // Isolation bounds the calls after a crash, and a call that never connected
  // puts no load on a server.
  const bool exempt_from_budget = failure == AttemptFailure::kReset ||
                                  failure == AttemptFailure::kConnect ||
                                  failure == AttemptFailure::kLeaving;
  if (retry && !exempt_from_budget && !RetryBudgetOf(stage.pool).TryTake()) {
    ++counters_.retries_denied;
    retry = false;
  }
  if (failure == AttemptFailure::kConnect && !quarantined) {
    ++counters_.retries;
    BackOff(now, request);
    return;
  }
  if (retry &&
      suspects_.IsQuarantinePending(now, request.submission.fingerprint)) {
    ++counters_.retries;
    request.phase = RequestPhase::kQueued;
    Arm(now + kHeldRetryInterval, TimerKind::kBackOff, request.id.value);
    return;
  }
  if (retry) {
    ++counters_.retries;
    counters_.resumed_streams += request.offset > 0 ? 1 : 0;
    Enqueue(now, request);
    return;
  }
  Finish(now, request, KindOfFailure(request),
         "stage '" + stage.name + "' failed " +
             std::to_string(request.attempts_made) + " times, last: " +
             TraitsOf(failure).name + ": " + std::string(detail),
         {}, false);
}

ErrorKind Coordinator::KindOfFailure(const Request& request) const {
  if (request.EffectMayHaveRun()) {
    return ErrorKind::kOutcomeUnknown;
  }
  if (!request.MayHaveRun()) {
    return ErrorKind::kNoServer;
  }
  return request.offset > 0 ? ErrorKind::kStreamBroken
                            : ErrorKind::kStageFailed;
}

void Coordinator::OnNextByteTimeout(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(AttemptId{id});
  if (found == attempts_.end()) {
    return;
  }
  if (found->second.next_byte_deadline > now) {
    // Tokens have arrived since. Each call has a single timer, armed again when
    // it is due: one per token would accumulate thousands of timers.
    Arm(found->second.next_byte_deadline, TimerKind::kNextByteTimeout, id);
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
  const bool is_only_attempt = request.attempts.size() == 1;
  if (!is_only_attempt || request.offset > 0 || found->second.suspect ||
      request.attempts_made >= request.stage().max_attempts) {
    return;
  }
  ServerRef server;
  // If the daemon was paused, this timer may run before the deadline timer.
  if (MustRefuse(now, request) || IsHeld(now, request) ||
      !TryPickServer(now, request, server) || server == found->second.server) {
    return;
  }
  if (!RetryBudgetOf(request.stage().pool).TryTake()) {
    return;
  }
  ++counters_.hedges;
  ++request.reports.back().hedges;
  Start(now, request, std::move(server));
}

}  // namespace gentianroute
