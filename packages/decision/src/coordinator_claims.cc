// Idempotency claims, joins and remembered outcomes.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {

void Coordinator::BeginClaim(TimePoint now,
                             Request& request,
                             std::uint64_t replaces) {
  const Submission& submission = request.submission;
  request.phase = RequestPhase::kClaiming;
  request.claim_token = claims_.Begin(now, request.arrived_wall, request.id,
                                      submission.organisation, submission.key,
                                      submission.body_digest, replaces);
  live_tokens_[request.claim_token] = request.id;
}

void Coordinator::ProcessClaims(TimePoint now) {
  claims_.Advance(now);
  for (const ClaimResult& result : claims_.TakeResults()) {
    OnClaimResult(now, result);
  }
}

void Coordinator::OnClaimResult(TimePoint now, const ClaimResult& result) {
  const auto found = requests_.find(result.request);
  if (found == requests_.end()) {
    // The deadline passed while the claim was in flight. No call was sent, so
    // the key is released and a resend by the caller may run.
    if (result.outcome == ClaimOutcome::kConfirmed) {
      claims_.Complete(now, result.token, ClaimState::kNotRun, 0, {});
    }
    return;
  }
  Request& request = found->second;
  GR_INVARIANT(request.phase == RequestPhase::kClaiming);
  GR_INVARIANT(request.claim_token == result.token);
  request.key_row_read |= result.outcome != ClaimOutcome::kUnavailable;
  switch (result.outcome) {
    case ClaimOutcome::kConfirmed:
      request.claim_confirmed = true;
      EnterFirstStage(now, request);
      break;
    case ClaimOutcome::kUnavailable:
      AbandonToken(now, request);
      Finish(now, request, ErrorKind::kStoreUnavailable,
             "the table service did not confirm the claim", {}, false);
      break;
    case ClaimOutcome::kTaken:
      AbandonToken(now, request);
      OnKeyTaken(now, request, result);
      break;
  }
}

void Coordinator::AbandonToken(TimePoint now, Request& request) {
  GR_INVARIANT(!request.claim_confirmed);
  const std::string token = std::exchange(request.claim_token, {});
  live_tokens_.erase(token);
  RecordOutcome(now, token, {JoinState::kAbandoned, std::nullopt, {}});
}

void Coordinator::OnKeyTaken(TimePoint now,
                             Request& request,
                             const ClaimResult& result) {
  const Claim& holder = result.holder;
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
  request.holder_token = holder.token;
  request.holder_version = result.holder_version;
  if (live_tokens_.contains(holder.token)) {
    joins_[holder.token].requests.push_back(request.id);
    return;
  }
  const JoinOutcome outcome = FindOutcome(holder.token);
  if (outcome.state != JoinState::kUnknown) {
    FinishJoined(now, request, outcome);
    return;
  }
  actions_.push_back(QueryClaimHolder{request.id, holder});
}

void Coordinator::OnClaimHolderAnswered(TimePoint now,
                                        RequestId id,
                                        std::string_view token,
                                        const JoinOutcome& outcome) {
  const auto found = requests_.find(id);
  // A duplicate answer, or one about an earlier holder, doesn't apply to the
  // current holder: acting on its "abandoned" would replace the claim of a
  // request that may be running.
  if (found == requests_.end() ||
      found->second.phase != RequestPhase::kJoining ||
      found->second.holder_token != token) {
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
      // The row is replaced only if its version is still the one read. If
      // another request has replaced it since, this claim conflicts with that
      // one.
      BeginClaim(now, request, request.holder_version);
      break;
    case JoinState::kUnknown:
      Finish(now, request, ErrorKind::kOutcomeUnknown,
             "the daemon that held this key is gone", {}, false);
      break;
  }
}

JoinId Coordinator::Join(TimePoint /*now*/, std::string_view token) {
  const JoinId join{next_join_++};
  if (live_tokens_.contains(token)) {
    joins_[std::string(token)].peers.push_back(join);
    return join;
  }
  actions_.push_back(AnswerJoin{join, FindOutcome(token)});
  return join;
}

JoinOutcome Coordinator::FindOutcome(std::string_view token) const {
  for (const FinishedClaim& remembered : finished_claims_) {
    if (remembered.token == token) {
      return remembered.outcome;
    }
  }
  // Neither running nor recorded; its record may have been dropped already.
  return {JoinState::kUnknown, std::nullopt, {}};
}

void Coordinator::RecordOutcome(TimePoint now,
                                const std::string& token,
                                const JoinOutcome& outcome) {
  finished_claims_.push_back({token, outcome});
  if (finished_claims_.size() > options_.max_kept_outcomes) {
    finished_claims_.pop_front();
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

void Coordinator::CompleteClaim(TimePoint now,
                                const Request& request,
                                std::optional<ErrorKind> error,
                                const std::string& body) {
  if (!request.claim_confirmed) {
    return;
  }
  if (!error.has_value()) {
    claims_.Complete(now, request.claim_token, ClaimState::kAnswered, 200,
                     body);
    return;
  }
  if (request.EffectMayHaveRun()) {
    claims_.LeaveClaimed(request.claim_token);
    return;
  }
  claims_.Complete(now, request.claim_token, ClaimState::kNotRun, 0, {});
}

}  // namespace gentianroute
