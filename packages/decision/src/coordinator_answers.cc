// What becomes of a call: answered, streamed, failed, silent, hedged.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/decision/detail/json_text.h"

namespace gentianroute {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
constexpr double kMeasureWeight = 0.1;

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
  pool_health_[request.stage().pool].OnAnswer();
  std::string result = request.stage().streams
                           ? detail::QuoteText(request.streamed)
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
  if (chunk.offset < request.offset) {
    ++counters_.duplicate_tokens;  // resumed a little early, or hedged
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
  PoolHealth& health = pool_health_[server.host.pool];
  if (meaning.blames_server) {
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
  if (again &&
      suspects_.IsQuarantinePending(now, request.submission.fingerprint)) {
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
  Finish(now, request, KindOfFailure(request),
         "stage '" + stage.name + "' failed " +
             std::to_string(request.attempts_made) + " times, last: " +
             MeaningOf(failure).name + ": " + std::string(detail),
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

void Coordinator::OnSilence(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(AttemptId{id});
  if (found == attempts_.end()) {
    return;
  }
  if (found->second.silent_at > now) {
    // Tokens have come since. Each call has one such timer, which moves on when
    // it is due: one a token would pile up by the thousand.
    Arm(found->second.silent_at, TimerKind::kSilence, id);
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
  ++request.reports.back().hedges;
  Start(now, request, std::move(server));
}

}  // namespace gentianroute
