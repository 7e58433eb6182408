#include "gentianroute/decision/coordinator.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {

Coordinator::Coordinator(Options options,
                         ServerTable& servers,
                         UsageLedger& usage,
                         SuspectTable& suspects,
                         ClaimLedger& claims)
    : options_(options),
      servers_(servers),
      usage_(usage),
      suspects_(suspects),
      claims_(claims),
      rng_(options.seed) {}

void Coordinator::SetCatalogue(CatalogueRef catalogue) {
  GR_INVARIANT(catalogue_ == nullptr ||
               catalogue->revision >= catalogue_->revision);
  catalogue_ = std::move(catalogue);
}

RequestId Coordinator::Submit(TimePoint now,
                              UnixMicros wall,
                              Submission submission) {
  ++counters_.submitted;
  const RequestId id{next_request_++};
  Request& request = requests_[id];
  request.id = id;
  request.submission = std::move(submission);
  request.arrived = now;
  request.arrived_wall = wall;
  Admit(now, request);
  DispatchFreedPools(now);
  return id;
}

void Coordinator::Admit(TimePoint now, Request& request) {
  const Submission& submission = request.submission;
  if (catalogue_ == nullptr) {
    Finish(now, request, ErrorKind::kNotReady, "no configuration yet", {},
           false);
    return;
  }
  request.profile = catalogue_->ForService(submission.service);
  if (request.profile == nullptr || request.profile->stages.empty()) {
    Finish(now, request, ErrorKind::kUnknownService,
           "no service '" + submission.service + "'", {}, false);
    return;
  }
  const Duration longest = request.profile->deadline;
  const Duration allowed = submission.timeout.count() > 0
                               ? std::min(submission.timeout, longest)
                               : longest;
  request.deadline = now + allowed;
  std::string detail;
  const std::optional<ErrorKind> refusal = CheckAdmission(now, request, detail);
  if (refusal.has_value()) {
    Finish(now, request, refusal, std::move(detail), {}, false);
    return;
  }
  Arm(request.deadline, TimerKind::kDeadline, request.id.value);
  if (!submission.key.empty() && request.profile->HasEffect()) {
    BeginClaim(now, request, 0);
    return;
  }
  EnterFirstStage(now, request);
}

void Coordinator::EnterFirstStage(TimePoint now, Request& request) {
  const StageSpec* failing_stage = FindFailingStage(now, request);
  if (failing_stage == nullptr) {
    EnterStage(now, request);
    return;
  }
  const Duration failing =
      pool_health_[failing_stage->pool].TimeSinceFirstFailure(now);
  Finish(now, request, ErrorKind::kNoServer,
         "no server of pool '" + failing_stage->pool + "' has answered for " +
             std::to_string(failing.count() / 1000) + " ms",
         {}, false);
}

const StageSpec* Coordinator::FindFailingStage(TimePoint now,
                                               const Request& request) {
  if (!options_.refuse_early) {
    return nullptr;
  }
  // Profiles that minimise cost are refused early, since the cost of the first
  // stages would be wasted. The others wait longer: if the outage is short,
  // requests that arrive near its end can still be answered in time.
  constexpr int kMaxFailingDeadlines = 10;
  const bool minimises_cost = request.profile->objective == Objective::kCost;
  const Duration max_failing_time =
      minimises_cost ? Duration{0}
                     : kMaxFailingDeadlines * (request.deadline - now);
  for (const StageSpec& stage : request.profile->stages) {
    const auto health = pool_health_.find(stage.pool);
    if (health != pool_health_.end() &&
        health->second.IsUnresponsive(now, max_failing_time) &&
        !health->second.TryProbe(now)) {
      return &stage;
    }
  }
  return nullptr;
}

std::optional<ErrorKind> Coordinator::CheckAdmission(TimePoint now,
                                                     const Request& request,
                                                     std::string& detail) {
  if (suspects_.IsQuarantined(now, request.submission.fingerprint)) {
    detail = "this request crashed the backend servers that ran it";
    return ErrorKind::kQuarantined;
  }
  if (suspects_.IsQuarantinePending(now, request.submission.fingerprint)) {
    detail = "a server that ran this request has just failed";
    return ErrorKind::kNoServer;
  }
  for (const StageSpec& stage : request.profile->stages) {
    if (!servers_.HasServer(stage.pool)) {
      detail = "pool '" + stage.pool + "' has no live server";
      return ErrorKind::kNoServer;
    }
  }
  if (queued() >= options_.max_queued) {
    detail = std::to_string(queued()) + " requests wait";
    return ErrorKind::kOverloaded;
  }
  const Duration expected = ExpectedRemaining(request);
  const Duration left = request.deadline - now;
  if (options_.refuse_early &&
      Seconds(left) < options_.min_time_ratio * Seconds(expected)) {
    detail = std::to_string(request.profile->stages.size()) + " stages need " +
             std::to_string(expected.count() / 1000) + " ms, " +
             std::to_string(left.count() / 1000) + " ms are left";
    return ErrorKind::kDeadlineTooShort;
  }
  if (options_.refuse_early && WouldWaitTooLong(now, request)) {
    detail = "those before it take longer than its deadline";
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

bool Coordinator::WouldWaitTooLong(TimePoint now, const Request& request) {
  const Duration slack = request.deadline - now - ExpectedRemaining(request);
  for (const StageSpec& stage : request.profile->stages) {
    const auto queue = queues_.find(stage.pool);
    if (queue == queues_.end() || queue->second.empty()) {
      continue;
    }
    const Duration wait =
        wait_estimators_[stage.pool].EstimateWait(queue->second.size());
    if (wait > slack &&
        queue->second.WouldBeLowestPriority(now, WaiterOf(request, stage))) {
      return true;
    }
  }
  return false;
}

Duration Coordinator::ExpectedDuration(const StageSpec& stage) const {
  const auto found = mean_call_durations_.find(stage.pool);
  return found == mean_call_durations_.end() ? stage.expected : found->second;
}

Duration Coordinator::ExpectedRemaining(const Request& request) const {
  Duration expected{0};
  const auto& stages = request.profile->stages;
  for (std::size_t i = request.stage_index; i < stages.size(); ++i) {
    expected += ExpectedDuration(stages[i]);
  }
  return expected;
}

void Coordinator::OnCallerGone(TimePoint now, RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  request.caller_gone = true;
  // A call whose effect may be in progress continues too: cancelling it would
  // leave its outcome unknown.
  if (!request.claim_token.empty() || request.EffectMayHaveRun()) {
    return;
  }
  const ErrorKind kind = request.MayHaveRun() ? ErrorKind::kDeadlineExceeded
                                              : ErrorKind::kDeadlineBeforeStart;
  Finish(now, request, kind, "the caller has gone", {}, false);
  DispatchFreedPools(now);
}

// --- Completion -------------------------------------------------------------

void Coordinator::Finish(TimePoint now,
                         Request& request,
                         std::optional<ErrorKind> error,
                         std::string detail,
                         std::string body,
                         bool replayed) {
  CancelAll(request);
  if (request.profile != nullptr && request.phase == RequestPhase::kQueued &&
      request.stage_index < request.profile->stages.size()) {
    const auto queue = queues_.find(request.stage().pool);
    if (queue != queues_.end()) {
      queue->second.Remove(request.id);
      if (reservations_.contains(request.stage().pool)) {
        freed_pools_.insert(request.stage().pool);
      }
    }
  }
  if (error.has_value()) {
    // "Not run" may only be answered if no server received any call.
    const ExecutionState work = AnswerFor(*error).work;
    GR_INVARIANT(work != ExecutionState::kNotRun || !request.MayHaveRun());
    GR_INVARIANT(work == ExecutionState::kUnknown ||
                 !request.EffectMayHaveRun());
  }
  CompleteClaim(now, request, error, body);

  FinishRequest finish;
  finish.request = request.id;
  finish.error = error;
  finish.detail = std::move(detail);
  finish.body = std::move(body);
  finish.replayed = replayed;
  finish.key_checked = request.KeyChecked();
  finish.service = request.submission.service;
  finish.organisation = request.submission.organisation;
  finish.subscriber = request.submission.subscriber;
  finish.took = now - request.arrived;
  finish.stages = std::move(request.reports);
  if (request.profile != nullptr) {
    finish.profile = request.profile->name;
  }
  if (request.first_token_at != TimePoint{}) {
    finish.first_token = request.first_token_at - request.arrived;
  }
  for (const StageReport& report : finish.stages) {
    finish.cost += report.cost;
  }
  ++(error.has_value() ? counters_.failed : counters_.answered);
  const std::string token = request.claim_token;
  const bool claim_confirmed = request.claim_confirmed;
  const RequestId id = request.id;
  JoinOutcome outcome{JoinState::kFinished, finish.error, finish.body};
  actions_.push_back(std::move(finish));
  // From here on no event finds the request, so it finishes only once.
  requests_.erase(id);
  if (!token.empty()) {
    if (!claim_confirmed) {
      outcome = {JoinState::kAbandoned, std::nullopt, {}};
    }
    live_tokens_.erase(token);
    RecordOutcome(now, token, outcome);
  }
}

// --- Timers -----------------------------------------------------------------

void Coordinator::Arm(TimePoint due, TimerKind kind, std::uint64_t id) {
  timers_.push({due, kind, id});
}

TimePoint Coordinator::NextDue() const {
  const TimePoint timer = timers_.empty() ? kNever : timers_.top().due;
  return std::min(timer, claims_.NextDue());
}

void Coordinator::Advance(TimePoint now) {
  static constexpr std::array<TimerHandler, 6> kHandlers = {
      &Coordinator::OnDeadline,        &Coordinator::OnLatestStart,
      &Coordinator::OnNextByteTimeout, &Coordinator::OnHedge,
      &Coordinator::OnBackOff,         &Coordinator::OnIsolationTimeout};
  while (!timers_.empty() && timers_.top().due <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    const TimerHandler handler =
        kHandlers[static_cast<std::size_t>(timer.kind)];
    (this->*handler)(now, timer.id);
  }
  DispatchFreedPools(now);
}

void Coordinator::OnDeadline(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  const std::string detail =
      request.phase == RequestPhase::kClaiming
          ? "the claim on its key was not confirmed in time"
          : "stage '" + request.stage().name + "' was not done in time";
  if (request.phase == RequestPhase::kJoining || request.EffectMayHaveRun()) {
    Finish(now, request, ErrorKind::kOutcomeUnknown, detail, {}, false);
    return;
  }
  const ErrorKind kind = request.MayHaveRun() ? ErrorKind::kDeadlineExceeded
                                              : ErrorKind::kDeadlineBeforeStart;
  Finish(now, request, kind, detail, {}, false);
}

void Coordinator::OnLatestStart(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found == requests_.end() ||
      found->second.phase != RequestPhase::kQueued) {
    return;
  }
  Request& request = found->second;
  const Duration expected = ExpectedRemaining(request);
  const TimePoint latest =
      request.deadline -
      Duration(static_cast<std::int64_t>(static_cast<double>(expected.count()) *
                                         options_.min_time_ratio));
  if (now < latest) {
    Arm(latest, TimerKind::kLatestStart, id);
    return;
  }
  OnDeadline(now, id);
}

std::vector<Action> Coordinator::TakeActions() {
  return std::exchange(actions_, {});
}

std::size_t Coordinator::queued() const {
  std::size_t waiting = 0;
  for (const auto& [pool, queue] : queues_) {
    waiting += queue.size();
  }
  return waiting;
}

const Request* Coordinator::Find(RequestId request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace gentianroute
