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
/// Waiters asked per dispatch before the pool counts as busy.
constexpr std::size_t kMaxAsked = 16;

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
  request.offset = 0;
  request.streamed.clear();
  request.reports.push_back({request.stage().name});
  Enqueue(now, request);
}

void Coordinator::Enqueue(TimePoint now, Request& request) {
  const StageSpec& stage = request.stage();
  request.phase = RequestPhase::kQueued;
  request.queued_at = now;
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

void Coordinator::Dispatch(TimePoint now, std::string_view pool) {
  const auto found = queues_.find(pool);
  if (found == queues_.end()) {
    return;
  }
  while (!found->second.empty()) {
    ServerRef server;
    const auto waiter = found->second.Pop(
        now,
        [&](const FairQueue::Waiter& candidate) {
          return MayGo(now, candidate.request, server);
        },
        kMaxAsked);
    if (!waiter.has_value()) {
      return;
    }
    paces_[std::string(pool)].OnStart(now, !found->second.empty());
    Start(now, requests_.at(waiter->request), std::move(server));
  }
}

bool Coordinator::MayGo(TimePoint now, RequestId id, ServerRef& server) {
  const Request& request = requests_.at(id);
  const Fingerprint fingerprint = request.submission.fingerprint;
  if (suspects_.IsSuspect(now, fingerprint) && suspects_running_ > 0) {
    return false;
  }
  const StageSpec& stage = request.stage();
  PickContext context;
  context.pool = stage.pool;
  context.objective = request.profile->objective;
  context.cross_region = request.profile->cross_region;
  context.expected = Expected(stage);
  context.expected_rest = ExpectedRest(request);
  context.line = paces_[stage.pool].WaitFor(queues_.at(stage.pool).size());
  context.remaining = request.deadline - now;
  context.prefix = stage.streams ? request.submission.prefix : 0;
  context.bytes = request.submission.body.size();
  context.avoid = request.tried;
  server = servers_.Pick(now, context, rng_);
  if (server == nullptr && !request.tried.empty()) {
    // All others are busy or gone: the same server is better than none.
    context.avoid = {};
    server = servers_.Pick(now, context, rng_);
  }
  return server != nullptr;
}

void Coordinator::Start(TimePoint now, Request& request, ServerRef server) {
  const StageSpec& stage = request.stage();
  // At most once: a stage that must not repeat leaves the daemon only while no
  // earlier call of it may have run, and, with a key, only under a claim that
  // the store confirmed.
  GR_INVARIANT(stage.MayRepeat() || !request.stage_maybe_run);
  GR_INVARIANT(request.claim_token.empty() || request.claim_stands);
  GR_INVARIANT(server->Accepts());

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
  suspects_running_ += attempt.suspect ? 1 : 0;
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
}

Attempt Coordinator::Detach(AttemptId id) {
  const auto found = attempts_.find(id);
  GR_INVARIANT(found != attempts_.end());
  Attempt& attempt = found->second;
  attempt.unlink();
  Request& request = requests_.at(attempt.request);
  std::erase(request.attempts, id);
  suspects_running_ -= attempt.suspect ? 1 : 0;
  Attempt detached = attempt;
  attempts_.erase(found);
  return detached;
}

void Coordinator::CancelAll(Request& request) {
  while (!request.attempts.empty()) {
    const Attempt attempt = Detach(request.attempts.back());
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
  if (answer.echoed != answer.attempt) {
    // Another request's answer: handing it on would show one family's letter
    // to another. The connection is closed, since its order is lost.
    ++counters_.crossed_answers;
    OnFailure(now, answer.attempt, AttemptFailure::kCrossed,
              "the answer names another attempt");
    return;
  }
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
  suspects_.OnAnswered(attempt.fingerprint);
  std::string result = request.stage().streams ? QuoteText(request.streamed)
                                               : std::move(answer.body);
  const std::string pool = request.stage().pool;
  CompleteStage(now, request, std::move(result), answer, attempt);
  Dispatch(now, pool);
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
  if (chunk.echoed != chunk.attempt) {
    ++counters_.crossed_answers;
    OnFailure(now, chunk.attempt, AttemptFailure::kCrossed,
              "the stream names another attempt");
    return;
  }
  Attempt& attempt = found->second;
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
  const FailureMeaning& meaning = MeaningOf(failure);
  if (failure == AttemptFailure::kReset && found->second.written) {
    OnCrash(now, found->second);
  }
  const Attempt attempt = Detach(id);
  Server& server = *attempt.server;
  if (meaning.blames_server) {
    servers_.OnFailure(now, server);
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
  const std::string pool = request.stage().pool;
  if (request.attempts.empty()) {  // otherwise the hedge goes on
    Retry(now, request, failure, detail);
  }
  Dispatch(now, pool);
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
  bool again = harmless && meaning.worth_repeating && !quarantined &&
               request.attempts_made < stage.max_attempts;
  if (again && !BudgetOf(stage.pool).TryTake()) {
    ++counters_.retries_denied;
    again = false;
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

void Coordinator::OnCrash(TimePoint now, const Attempt& attempt) {
  std::vector<Fingerprint> suspects;
  std::vector<Fingerprint> everyone;
  for (const Attempt& other : at_server_[attempt.server.get()]) {
    everyone.push_back(other.fingerprint);
    if (other.suspect) {
      suspects.push_back(other.fingerprint);
    }
  }
  const HostRecord& host = attempt.server->host;
  suspects_.OnCrash(now, host.name, host.incarnation,
                    suspects.empty() ? everyone : suspects);
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
  if (!MayGo(now, request.id, server) || server == found->second.server) {
    return;
  }
  if (!BudgetOf(request.stage().pool).TryTake()) {
    return;
  }
  ++counters_.hedges;
  Start(now, request, std::move(server));
}

void Coordinator::OnServersChanged(TimePoint now) {
  std::vector<std::string> pools;
  for (const auto& [pool, queue] : queues_) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    Dispatch(now, pool);
  }
}

}  // namespace gentianroute
