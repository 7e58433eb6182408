#include <algorithm>
#include <array>
#include <utility>

#include "gentianroute/gateway/detail/request_attempt.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/routing/sender_share.h"

// Handing a request to a peer while this daemon can't send it to any server.

namespace gentianroute::gateway {
namespace {

/// Daemons that may hand a request on. One that has just been cut off too
/// doesn't know it yet, and still gets requests from others.
constexpr std::uint32_t kMaxHops = 2;
constexpr int kFirstServerErrorStatus = 500;

/// Whether an answer with this status says that the request has not run.
bool SaysNotRun(int status) {
  constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
  return std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
}

}  // namespace

void RequestFlow::OnCutOff() {
  if (plan_ && attempt_ == nullptr) {
    HandToPeer();
  }
}

bool RequestFlow::HandToPeer() {
  const bool served_elsewhere = IsServedElsewhere();
  const bool needs_peer =
      served_elsewhere || context_.reach.IsCutOff(service_name_);
  if (!needs_peer || hops_ >= kMaxHops) {
    return false;
  }
  const auto permits = [this, served_elsewhere](std::string_view data_centre) {
    return placement_->PermitsDataIn(data_centre) &&
           (!served_elsewhere || HasServerIn(data_centre));
  };
  const Membership::Peer* peer = context_.cluster.members().PeerInReach(
      request_.id, service_name_, permits, peers_tried_);
  if (peer == nullptr) {
    return false;
  }
  HandTo(*peer);
  return true;
}

bool RequestFlow::HandToSender() {
  // New requests have other servers to go to.
  if (!origin_ || hops_ >= kMaxHops) {
    return false;
  }
  return HandToSenderOfAny([this](const routing::ServerRecord& server) {
    // Where a connection to the server has just failed, this daemon is no use
    // as its first sender.
    const bool has_failed =
        std::ranges::find(tried_, server.id) != tried_.end();
    return has_failed ? OtherSenderOf(server)
                      : context_.cluster.members().FirstSender(
                            server.id, server.data_centre, server.service,
                            peers_tried_);
  });
}

bool RequestFlow::HandToOtherSender(const routing::ServerChoice& choice) {
  using routing::PlacementVerdict;
  constexpr std::array kSentByOthers = {
      PlacementVerdict::kRateLimited, PlacementVerdict::kNotSender,
      PlacementVerdict::kNoRoom, PlacementVerdict::kBackoff};
  const bool others_may_send =
      std::ranges::any_of(kSentByOthers, [&choice](PlacementVerdict verdict) {
        return choice.verdicts[static_cast<std::size_t>(verdict)] > 0;
      });
  // A peer that gets it from another one is a sender, and has no share either.
  if (!others_may_send || hops_ > 0) {
    return false;
  }
  return HandToSenderOfAny([this](const routing::ServerRecord& server) {
    return OtherSenderOf(server);
  });
}

bool RequestFlow::HandToSenderOfAny(const SenderOf& sender_of) {
  for (const routing::ServerPtr& server :
       context_.servers.ServersOf(service_name_)) {
    const routing::ServerRecord& record = server->record();
    if (!server->open() || !placement_->Accepts(record)) {
      continue;
    }
    if (const Membership::Peer* sender = sender_of(record)) {
      HandTo(*sender);
      return true;
    }
  }
  return false;
}

const Membership::Peer* RequestFlow::OtherSenderOf(
    const routing::ServerRecord& server) const {
  return context_.cluster.members().OneOfFirst(
      server.id, server.data_centre, server.service,
      routing::SenderShare::kMaxSenders - 1, request_.id, peers_tried_);
}

void RequestFlow::HandTo(const Membership::Peer& peer) {
  context_.recorder.OnHandedOver(request_.id, peer.state.name, hops_);
  context_.loop.Cancel(stages_timer_);
  context_.loop.Cancel(answer_timer_);
  running_stages_.clear();
  origin_lookup_.reset();
  ReleaseResults(plan_->TakeAll());
  peers_tried_.push_back(peer.state.name);
  if (attempt_ != nullptr) {
    old_attempts_.push_back(std::move(attempt_));
  }
  BeginRun();
  attempt_ = std::make_unique<PeerAttempt>(*this, peer);
  ++attempts_;
  may_have_run_ = true;
}

bool RequestFlow::HasServerIn(std::string_view data_centre) const {
  const auto& servers = context_.servers.ServersOf(service_name_);
  return std::ranges::any_of(
      servers, [this, data_centre](const routing::ServerPtr& server) {
        return server->open() && placement_->Accepts(server->record()) &&
               server->record().data_centre == data_centre;
      });
}

bool RequestFlow::IsServedElsewhere() const {
  const auto& brittle = context_.placement_rules.brittle_servers.services();
  return brittle.Contains(service_name_) &&
         !HasServerIn(context_.topology.own());
}

HandedRequest RequestFlow::HandedToPeer() const {
  HandedRequest handed;
  handed.head = exchange_->head();
  handed.body = exchange_->shared_body();
  handed.age = context_.loop.Now() - started_at_;
  handed.progress.attempts = attempts_;
  handed.progress.may_have_run = earlier_may_have_run_;
  handed.progress.resume_after = ResumePosition();
  handed.progress.hops = hops_ + 1;
  handed.progress.deployment_version = table_->version();
  handed.progress.origin = origin_;
  return handed;
}

void RequestFlow::OnPeerAnswer(int status,
                               const HttpHeaders& fields,
                               std::string_view body,
                               const AnswerSource& source) {
  OnPeerSource(source);
  const bool says_not_run = SaysNotRun(status);
  if (answer_begun_ || (says_not_run && earlier_may_have_run_)) {
    Fail("the peer refused to repeat the request");
    return;
  }
  RecordFirstByte(context_.loop.Now());
  exchange_->Respond(status, fields, body);
  const bool failed = status >= kFirstServerErrorStatus;
  Finish(says_not_run ? "refused_by_peer"
         : failed     ? "server_failure"
                      : "answered",
         status, "");
}

void RequestFlow::OnPeerAnswerBegun(int status,
                                    const HttpHeaders& fields,
                                    const AnswerSource& source) {
  OnPeerSource(source);
  if (!std::exchange(answer_begun_, true)) {
    if (source.origin) {
      OnStreamBegun(*source.origin);
    }
    exchange_->Begin(status, fields);
  }
  RecordFirstByte(context_.loop.Now());
}

void RequestFlow::OnPeerSource(const AnswerSource& source) {
  if (source.leaving) {
    context_.notices.OnLeaving(context_.loop.Now(), *source.leaving);
  }
  SetLeavingSource(source.leaving);
}

void RequestFlow::SetLeavingSource(std::optional<LeavingServer> leaving) {
  source_.leaving = std::move(leaving);
  TellSource();
}

void RequestFlow::TellSource() const {
  if (on_source_) {
    on_source_(source_);
  }
}

void RequestFlow::OnPeerPart(std::string_view part) {
  last_byte_at_ = context_.loop.Now();
  if (!RelayPart(part)) {
    return;
  }
  if (events_.IsOtherRun()) {
    attempt_->Cancel();
    OnPeerFailed();
  }
}

void RequestFlow::OnPeerAnswerEnded() {
  if (events_.IsBehind()) {
    OnPeerFailed();
    return;
  }
  WriteRestOfStream();
  const bool caller_was_closed = self_ == nullptr;
  if (caller_was_closed) {
    return;
  }
  exchange_->End();
  constexpr int kOk = 200;
  Finish("answered", kOk, "");
}

void RequestFlow::OnPeerFailed() {
  earlier_may_have_run_ = true;
  if (repeatable() && TryRetry("peer", "the peer failed")) {
    return;
  }
  Fail("the peer's answer broke off");
}

}  // namespace gentianroute::gateway
