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
  Admit(now, wall, request);
  return id;
}

void Coordinator::Admit(TimePoint now, UnixMicros wall, Request& request) {
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
  const std::optional<ErrorKind> refusal = RefusalOf(now, request, detail);
  if (refusal.has_value()) {
    Finish(now, request, refusal, std::move(detail), {}, false);
    return;
  }
  Arm(request.deadline, TimerKind::kDeadline, request.id.value);
  if (!submission.key.empty() && request.profile->HasEffect()) {
    request.phase = RequestPhase::kClaiming;
    request.claim_token =
        claims_.Begin(now, wall, request.id, submission.organisation,
                      submission.key, submission.body_digest);
    return;
  }
  EnterStage(now, request);
}

std::optional<ErrorKind> Coordinator::RefusalOf(TimePoint now,
                                                const Request& request,
                                                std::string& detail) {
  if (suspects_.IsQuarantined(now, request.submission.fingerprint)) {
    detail = "this request crashed the backend servers that ran it";
    return ErrorKind::kQuarantined;
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
  const Duration rest = ExpectedRest(request);
  const Duration left = request.deadline - now;
  if (options_.refuse_early &&
      Seconds(left) < options_.least_time * Seconds(rest)) {
    detail = std::to_string(request.profile->stages.size()) + " stages need " +
             std::to_string(rest.count() / 1000) + " ms, " +
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
  const Duration slack = request.deadline - now - ExpectedRest(request);
  for (const StageSpec& stage : request.profile->stages) {
    const auto queue = queues_.find(stage.pool);
    if (queue == queues_.end() || queue->second.empty()) {
      continue;
    }
    const Duration wait = paces_[stage.pool].WaitFor(queue->second.size());
    if (wait > slack &&
        queue->second.WouldBeWorst(now, WaiterOf(request, stage))) {
      return true;
    }
  }
  return false;
}

Duration Coordinator::Expected(const StageSpec& stage) const {
  const auto found = measured_.find(stage.pool);
  return found == measured_.end() ? stage.expected : found->second;
}

Duration Coordinator::ExpectedRest(const Request& request) const {
  Duration rest{0};
  const auto& stages = request.profile->stages;
  for (std::size_t i = request.stage_index; i < stages.size(); ++i) {
    rest += Expected(stages[i]);
  }
  return rest;
}

void Coordinator::OnCallerGone(TimePoint now, RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  request.caller_gone = true;
  if (request.claim_token.empty()) {
    Finish(now, request, ErrorKind::kDeadlineExceeded, "the caller has gone",
           {}, false);
  }
}

// --- Claims -----------------------------------------------------------------

void Coordinator::PumpClaims(TimePoint now, UnixMicros wall) {
  claims_.Advance(now);
  for (const ClaimVerdict& verdict : claims_.TakeVerdicts()) {
    OnVerdict(now, wall, verdict);
  }
}

void Coordinator::OnVerdict(TimePoint now,
                            UnixMicros /*wall*/,
                            const ClaimVerdict& verdict) {
  const auto found = requests_.find(verdict.request);
  if (found == requests_.end()) {
    // Its deadline passed while the store was asked. Nothing was sent, so the
    // key is given back and the caller's next try may run.
    if (verdict.outcome == ClaimOutcome::kStands) {
      claims_.Settle(now, verdict.token, ClaimState::kNotRun, 0, {});
    }
    return;
  }
  Request& request = found->second;
  GR_INVARIANT(request.phase == RequestPhase::kClaiming);
  GR_INVARIANT(request.claim_token == verdict.token);
  switch (verdict.outcome) {
    case ClaimOutcome::kStands:
      request.claim_stands = true;
      running_tokens_[request.claim_token] = request.id;
      EnterStage(now, request);
      break;
    case ClaimOutcome::kUnavailable:
      request.claim_token.clear();
      Finish(now, request, ErrorKind::kStoreUnavailable,
             "the table service did not confirm the claim", {}, false);
      break;
    case ClaimOutcome::kTaken:
      request.claim_token.clear();
      OnKeyTaken(now, request, verdict);
      break;
  }
}

void Coordinator::OnKeyTaken(TimePoint now,
                             Request& request,
                             const ClaimVerdict& verdict) {
  const Claim& holder = verdict.holder;
  if (holder.body_digest != request.submission.body_digest) {
    Finish(
        now, request, ErrorKind::kKeyConflict,
        "key '" + request.submission.key + "' was first seen with another body",
        {}, false);
    return;
  }
  if (holder.state == ClaimState::kAnswered) {
    Finish(now, request, std::nullopt, {}, holder.answer, true);
    return;
  }
  ++counters_.joins;
  request.phase = RequestPhase::kJoining;
  if (running_tokens_.contains(holder.token)) {
    JoinLocal(now, request, holder.token);
    return;
  }
  actions_.push_back(AskClaimer{request.id, holder});
}

void Coordinator::JoinLocal(TimePoint /*now*/,
                            Request& request,
                            std::string_view token) {
  joins_[std::string(token)].requests.push_back(request.id);
}

void Coordinator::OnClaimerAnswered(TimePoint now,
                                    UnixMicros /*wall*/,
                                    RequestId id,
                                    const JoinOutcome& outcome) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  FinishJoined(now, found->second, outcome);
}

void Coordinator::FinishJoined(TimePoint now,
                               Request& request,
                               const JoinOutcome& outcome) {
  GR_INVARIANT(request.phase == RequestPhase::kJoining);
  switch (outcome.state) {
    case JoinState::kFinished:
      Finish(now, request, outcome.error,
             outcome.error.has_value() ? "as the first arrival of this key"
                                       : std::string(),
             outcome.body, true);
      break;
    case JoinState::kAbandoned:
      Finish(now, request, ErrorKind::kStoreUnavailable,
             "an earlier claim on this key was given up; send it again", {},
             false);
      break;
    case JoinState::kUnknown:
      Finish(now, request, ErrorKind::kOutcomeUnknown,
             "the daemon that held this key is gone", {}, false);
      break;
  }
}

JoinId Coordinator::Join(TimePoint /*now*/, std::string_view token) {
  const JoinId join{next_join_++};
  if (running_tokens_.contains(token)) {
    joins_[std::string(token)].peers.push_back(join);
    return join;
  }
  actions_.push_back(AnswerJoin{join, Recall(token)});
  return join;
}

JoinOutcome Coordinator::Recall(std::string_view token) const {
  for (const Remembered& remembered : remembered_) {
    if (remembered.token == token) {
      return remembered.outcome;
    }
  }
  // Not running and not remembered: it may be older than the memory reaches.
  return {JoinState::kUnknown, std::nullopt, {}};
}

void Coordinator::Remember(TimePoint now,
                           const std::string& token,
                           const JoinOutcome& outcome) {
  remembered_.push_back({token, outcome});
  if (remembered_.size() > options_.max_remembered) {
    remembered_.pop_front();
  }
  const auto found = joins_.find(token);
  if (found == joins_.end()) {
    return;
  }
  const JoinWaiters waiters = std::move(found->second);
  joins_.erase(found);
  for (const JoinId peer : waiters.peers) {
    actions_.push_back(AnswerJoin{peer, outcome});
  }
  for (const RequestId id : waiters.requests) {
    const auto request = requests_.find(id);
    if (request != requests_.end()) {
      FinishJoined(now, request->second, outcome);
    }
  }
}

// --- Ends -------------------------------------------------------------------

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
    }
  }
  if (error.has_value()) {
    // A refusal that says "not run" must be true: no server saw any stage.
    const WorkKnown work = AnswerFor(*error).work;
    GR_INVARIANT(work != WorkKnown::kNotRun || !request.MayHaveRun());
    GR_INVARIANT(work == WorkKnown::kUnknown || !request.EffectMayHaveRun());
  }
  SettleClaim(now, request, error, body);

  FinishRequest finish;
  finish.request = request.id;
  finish.error = error;
  finish.detail = std::move(detail);
  finish.body = std::move(body);
  finish.replayed = replayed;
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
  const bool stood = request.claim_stands;
  const RequestId id = request.id;
  JoinOutcome outcome{JoinState::kFinished, finish.error, finish.body};
  actions_.push_back(std::move(finish));
  requests_.erase(id);  // exactly once: nothing finds the request any more
  if (stood) {
    running_tokens_.erase(token);
    Remember(now, token, outcome);
  }
}

void Coordinator::SettleClaim(TimePoint now,
                              const Request& request,
                              std::optional<ErrorKind> error,
                              const std::string& body) {
  if (!request.claim_stands) {
    return;
  }
  if (!error.has_value()) {
    claims_.Settle(now, request.claim_token, ClaimState::kAnswered, 200, body);
    return;
  }
  if (request.EffectMayHaveRun()) {
    claims_.LeaveClaimed(request.claim_token);
    return;
  }
  claims_.Settle(now, request.claim_token, ClaimState::kNotRun, 0, {});
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
  static constexpr std::array<TimerHandler, 4> kHandlers = {
      &Coordinator::OnDeadline, &Coordinator::OnTooLate,
      &Coordinator::OnSilence, &Coordinator::OnHedge};
  while (!timers_.empty() && timers_.top().due <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    const TimerHandler handler =
        kHandlers[static_cast<std::size_t>(timer.kind)];
    (this->*handler)(now, timer.id);
  }
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

void Coordinator::OnTooLate(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found == requests_.end() ||
      found->second.phase != RequestPhase::kQueued) {
    return;
  }
  Request& request = found->second;
  const Duration rest = ExpectedRest(request);
  const TimePoint latest =
      request.deadline -
      Duration(static_cast<std::int64_t>(static_cast<double>(rest.count()) *
                                         options_.least_time));
  if (now < latest) {
    Arm(latest, TimerKind::kTooLate, id);
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
