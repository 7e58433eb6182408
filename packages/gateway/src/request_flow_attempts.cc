#include <chrono>
#include <utility>

#include "gentianroute/gateway/detail/request_attempt.h"
#include "gentianroute/gateway/detail/request_limits.h"
#include "gentianroute/gateway/limit_recorder.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/loop/message_text.h"

// Sending a request to a backend server and relaying its answer.

namespace gentianroute::gateway {
namespace {

using detail::kMaxRecomputations;

constexpr int kFirstNonSuccessStatus = 300;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kConflict = 409;

/// An answer updates the estimate of the prefill time only if at most this
/// share of its prompt may or may not have been cached.
constexpr double kMaxUncertainShare = 0.25;
/// Idle time after which a connection is not reused for requests that must run
/// at most once: if the server closes it as idle while the request is on its
/// way, it is unknown whether the request has run.
constexpr Duration kMaxIdleNonRepeatable = std::chrono::milliseconds(1500);
/// Like kMaxIdleNonRepeatable, for repeatable requests.
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(4);
/// The events of a stream are passed on as they arrive, and not collected.
constexpr std::size_t kMaxStreamBytes = std::size_t{64} * 1024 * 1024;
/// How often a request is tried again that no server can run now.
constexpr Duration kServerRetryPeriod = std::chrono::milliseconds(50);

}  // namespace

bool RequestFlow::IsGeneration() const {
  return service_ != nullptr && service_->model.has_value();
}

routing::ServerChoice RequestFlow::ChooseServer() const {
  const TimePoint now = context_.loop.Now();
  const auto& servers = context_.servers.ServersOf(service_name_);
  const routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  if (IsGeneration()) {
    const auto inputs = PlacedResults(plan_->FinalStages(), 1);
    return routing::ChooseModelServer(now, servers, *placement_, tried_,
                                      request_.prompt, inputs, *service_->model,
                                      estimate, context_.topology);
  }
  return routing::ChoosePlainServer(now, servers, *placement_, tried_, estimate,
                                    context_.topology);
}

const std::string& RequestFlow::ResumePosition() const {
  return events_.last_id().empty() ? request_.resume_after : events_.last_id();
}

void RequestFlow::RecordFirstByte(TimePoint now) {
  if (first_byte_at_ == TimePoint{}) {
    first_byte_at_ = now;
  }
}

std::string RequestFlow::MessageHeadFor(const routing::Server& server) const {
  ServerRequest added;
  added.expected_server = server.record().id;
  if (organisation_ != nullptr) {
    added.organisation = organisation_->name;
  }
  added.time_left = TimeLeft();
  added.inputs = plan_->FinalInputs();
  added.resume_after = ResumePosition();
  const MessageHead& head = exchange_->head();
  const std::string_view body = exchange_->body();
  const bool bodiless =
      body.empty() && (head.method == "GET" || head.method == "HEAD" ||
                       head.method == "DELETE");
  return SerialiseRequestHead(
      head.method, head.target,
      context_.translator.ServerFields(request_, added),
      bodiless ? BodyFraming::kNone : BodyFraming::kLength, body.size());
}

void RequestFlow::SendToServer() {
  if (RefuseIfCrashing() || RefuseIfTooLateToSend()) {
    return;
  }
  if (HandToPeer()) {
    return;
  }
  if (route_->kind == routing::RouteKind::kStream && route_->resumable) {
    placement_->BeginStreamAt(
        service_name_, context_.streams.VersionsForNewStreams(service_name_));
  }
  const routing::ServerChoice choice = ChooseServer();
  if (choice.server == nullptr) {
    if (!HandToSender() && !WaitForServer(choice)) {
      Refuse(ErrorKind::kNoServer, "no server can accept the request");
    }
    return;
  }
  tried_.push_back(choice.server->record().id);
  const routing::ServerRecord& record = choice.server->record();
  RelayCall call;
  call.endpoint = {record.address, record.port};
  call.message = MessageHeadFor(*choice.server);
  call.body = exchange_->shared_body();
  call.response_has_no_body = exchange_->head().method == "HEAD";
  if (route_->kind == routing::RouteKind::kStream) {
    call.max_body_bytes = kMaxStreamBytes;
  }
  call.max_idle = repeatable() ? kMaxIdleRepeatable : kMaxIdleNonRepeatable;
  call.request_id = request_.id;
  call.matches_response = [&translator = context_.translator, id = request_.id](
                              const MessageHead& head, ConnectionUse use) {
    return translator.IsAnswerTo(head, id, use);
  };
  RequestSent sent;
  sent.id = request_.id;
  sent.server = record.id;
  sent.data_centre = record.data_centre;
  sent.software_version = record.software_version;
  sent.server_calls = choice.server->calls();
  sent.server_tokens = choice.server->tokens();
  sent.pending_prefill_tokens = choice.server->pending_prefill_tokens();
  sent.own_tokens = request_.prompt.OwnTokens();
  sent.uncached_shared_tokens =
      choice.server->prompt_cache().UncachedSharedTokens(request_.prompt);
  sent.score_ms = choice.score_ms;
  sent.time_left = TimeLeft();
  sent.verdicts = choice.verdicts;
  context_.recorder.OnSent(sent);
  pace_ = choice.pace;
  AssignServer(choice.server);
  ++attempts_;
  may_have_run_ = true;
  answer_ = {};
  // clear() and assignment would keep the memory of an abandoned answer.
  std::string().swap(body_);
  body_share_.Set(0);
  streaming_ = false;
  BeginRun();
  events_when_sent_ = events_.events();
  event_pace_ = {};
  attempt_ = std::make_unique<ServerAttempt>(*this, std::move(call));
  StartFirstByteTimer();
}

bool RequestFlow::WaitForServer(const routing::ServerChoice& choice) {
  const auto count = [&choice](routing::PlacementVerdict verdict) {
    return choice.verdicts[static_cast<std::size_t>(verdict)];
  };
  const auto held = count(routing::PlacementVerdict::kCold) +
                    count(routing::PlacementVerdict::kNoRoom) +
                    count(routing::PlacementVerdict::kNotRecorded);
  // A few servers can all have been tried before the daemon knows that it is
  // cut off from them, and has to hand the request to a peer.
  const bool may_be_cut_off =
      !tried_.empty() && context_.reach.IsProbing(service_name_);
  const bool backoff_ends_soon =
      count(routing::PlacementVerdict::kBackoff) > 0 &&
      BackoffLeft() <= (answer_begun_ ? detail::kMaxBackoffWaitInStream
                                      : detail::kMaxBackoffWait);
  const bool may_find_one = held > 0 || may_be_cut_off || backoff_ends_soon;
  if (!may_find_one ||
      context_.loop.Now() + kServerRetryPeriod + MinAnswerTime() > deadline_) {
    return false;
  }
  context_.loop.Cancel(answer_timer_);
  answer_timer_ = context_.loop.After(kServerRetryPeriod, [this] {
    const Ptr keep(this);
    SendToServer();
  });
  return true;
}

void RequestFlow::AssignServer(const routing::ServerPtr& server) {
  UnassignServer();
  server_ = server;
  sent_at_ = context_.loop.Now();
  server_->OnSent(sent_at_);
  pending_prefill_tokens_ = server_->pending_prefill_tokens();
  waves_ = routing::WavesAt(*server_);
  placed_load_.calls = 1;
  const routing::Prompt& prompt = request_.prompt;
  placed_load_.tokens = prompt.tokens_in + prompt.tokens_out / 2;
  placed_load_.pending_prefill_tokens = prompt.OwnTokens();
  server_->own() += placed_load_;
}

void RequestFlow::UnassignServer() {
  if (server_ == nullptr) {
    return;
  }
  server_->own() -= placed_load_;
  placed_load_ = {};
  server_ = nullptr;
}

void RequestFlow::OnHead(const ServerAnswer& answer,
                         bool ends_with_connection) {
  answer_ = answer;
  ends_with_connection_ = ends_with_connection;
  server_->OnBytesReceived(context_.loop.Now());
  context_.reach.OnAnswer(server_->record());
  context_.notices.OnAnswer(context_.loop.Now(), sent_at_, answer.notice,
                            *server_);
  SetLeavingSource(answer.notice.leaving ? std::optional(LeavingServer{
                                               server_->record().id,
                                               server_->record().incarnation()})
                                         : std::nullopt);
  if (context_.placement_rules.brittle_servers.services().OnAnswer(
          context_.loop.Now(), sent_at_, service_name_,
          answer.notice.bearable_rejections)) {
    LogBrittleService(service_name_, answer.notice.bearable_rejections, "");
    context_.cluster.SendUpdate(Cluster::UpdateScope::kGossip);
  }
  context_.loop.Cancel(answer_timer_);
  const bool streams = route_->kind == routing::RouteKind::kStream &&
                       answer.status < kFirstNonSuccessStatus &&
                       !answer.not_run;
  if (streams && !answer_begun_) {
    answer_begun_ = true;
    OnStreamBegun({service_name_, server_->record().software_version});
    exchange_->Begin(answer.status, answer.forwarded_fields);
  }
}

void RequestFlow::OnBody(std::string_view part) {
  if (!answer_begun_ || answer_.status >= kFirstNonSuccessStatus) {
    body_.append(part);
    body_share_.Set(body_.capacity());
    if (body_.size() > kMaxCollectedBodyBytes || body_share_.is_excessive()) {
      AbandonAnswer();
    }
    return;
  }
  last_byte_at_ = context_.loop.Now();
  server_->OnBytesReceived(last_byte_at_);
  context_.reach.OnAnswer(server_->record());
  if (!streaming_) {
    streaming_ = true;
    OnFirstByte();
  }
  RecordPace(event_pace_.OnPart(last_byte_at_, part));
  const bool had_proven_itself = HasProvenItself();
  if (!RelayPart(part)) {
    return;
  }
  if (events_.is_overlong() || events_.IsOtherRun()) {
    AbandonAnswer();
    return;
  }
  if (!had_proven_itself && HasProvenItself()) {
    ClearSuspicion(last_byte_at_, server_->record());
  }
}

void RequestFlow::RecordPace(std::optional<routing::EventPace::Sample> sample) {
  if (sample && IsGeneration()) {
    server_->pace().OnEvents(context_.loop.Now(), sample->events,
                             sample->taken);
  }
}

Duration RequestFlow::TimeAtServer(TimePoint now) const {
  return now - sent_at_ -
         context_.topology.RoundTrip(server_->record().data_centre);
}

void RequestFlow::OnFirstByte() {
  const TimePoint now = context_.loop.Now();
  RecordFirstByte(now);
  const routing::Prompt& prompt = request_.prompt;
  const Duration taken = TimeAtServer(now);
  routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  const double prefill_tokens = pending_prefill_tokens_ + prompt.OwnTokens();
  const double uncertain = server_->prompt_cache().UncachedSharedTokens(prompt);
  server_->history().OnAnswer(
      now, true,
      Seconds(taken) / (pace_ * Seconds(estimate.TimeToFirstEvent(
                                    prefill_tokens + uncertain))));
  if (uncertain <= kMaxUncertainShare * prefill_tokens) {
    estimate.OnFirstEvent(prefill_tokens, taken);
  }
  if (IsGeneration()) {
    server_->prompt_cache().OnPrefill(
        now, prompt, static_cast<double>(service_->model->memory_tokens));
  }
  server_->own().pending_prefill_tokens -= placed_load_.pending_prefill_tokens;
  placed_load_.pending_prefill_tokens = 0;
  // The server has read the stage results by now. A resumed stream recomputes
  // them.
  ReleaseResults(plan_->TakeAll());
  if (repeatable()) {
    StartSilenceTimer();
  }
}

bool RequestFlow::RelayPart(std::string_view part) {
  const std::string whole = events_.Feed(part);
  exchange_->Write(route_->resumable ? whole : part);
  return self_ != nullptr;
}

void RequestFlow::ClearSuspicion(TimePoint now,
                                 const routing::ServerRecord& answered_by) {
  // The end of a connection may be that of its server.
  if (!ends_with_connection_ || HasProvenItself()) {
    context_.suspects.OnAnswered(now, fingerprint_);
    context_.suspect_parts.OnAnswered(shared_parts_, sent_at_);
    return;
  }
  context_.suspects.OnAnswerWithoutEnd(now, answered_by.id,
                                       answered_by.incarnation(), fingerprint_);
}

void RequestFlow::WriteRestOfStream() {
  const std::string rest = events_.TakePartial();
  if (route_->resumable) {
    exchange_->Write(rest);
  }
}

bool RequestFlow::HasBrokenOff() const {
  const bool ends_inside_event = ends_with_connection_ && events_.is_partial();
  return answer_begun_ && (ends_inside_event || events_.IsBehind());
}

void RequestFlow::OnAnswered() {
  const TimePoint now = context_.loop.Now();
  if (answer_.not_run) {
    OnNotRun(answer_);
    return;
  }
  if (HasBrokenOff()) {
    OnAttemptFailure(RelayFailure::kTruncated);
    return;
  }
  if (answer_begun_ && answer_.status < kFirstNonSuccessStatus) {
    context_.service_times.Of(service_name_)
        .OnStreamEnd(TokensExpected(), now - first_byte_at_);
    RecordPace(event_pace_.OnEnd());
    ClearSuspicion(now, server_->record());
    UnassignServer();
    WriteRestOfStream();
    exchange_->End();
    Finish("answered", answer_.status, "");
    return;
  }
  const bool failed = answer_.status >= kFirstServerErrorStatus;
  const Duration taken = TimeAtServer(now);
  routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  server_->history().OnAnswer(
      now, !failed,
      Seconds(taken) / (Seconds(estimate.ServiceTime()) * waves_));
  if (!failed && !IsGeneration()) {
    estimate.OnAnswer(waves_, taken);
  }
  const routing::ServerPtr server = server_;
  UnassignServer();
  if (failed && repeatable()) {
    earlier_may_have_run_ = true;
    if (TryRetry("failure", "server failure")) {
      return;
    }
  }
  if (answer_begun_) {
    // The server refused to resume a stream that the caller has partly
    // received.
    Fail("the server failed to resume the stream");
    return;
  }
  if (!failed) {
    ClearSuspicion(now, server->record());
  }
  exchange_->Respond(answer_.status, answer_.forwarded_fields, body_);
  RecordFirstByte(now);
  Finish(failed ? "server_failure" : "answered", answer_.status, "");
}

void RequestFlow::OnNotRun(const ServerAnswer& answer) {
  const std::string status = std::to_string(answer.status);
  const std::string server = server_->record().id;
  if (answer.status == kConflict && ++recomputations_ <= kMaxRecomputations &&
      !answer_begun_) {
    context_.recorder.OnRetry(request_.id, "stage", server,
                              "the stage results no longer exist");
    UnassignServer();
    tried_.pop_back();
    ReleaseResults(
        plan_->RecomputeInputs(static_cast<std::uint32_t>(plan_->stages())));
    Advance();
    return;
  }
  server_->history().OnConnectionFailure(context_.loop.Now());
  server_->OnRejected(context_.loop.Now());
  UnassignServer();
  may_have_run_ = earlier_may_have_run_;
  if (TryRetry("refused", status)) {
    return;
  }
  Refuse(ErrorKind::kOverloaded, "the server refused the request: " + status);
}

void RequestFlow::OnAttemptFailure(RelayFailure failure) {
  const TimePoint now = context_.loop.Now();
  const std::string server = server_->record().id;
  server_->history().OnConnectionFailure(now);
  context_.loop.Cancel(answer_timer_);
  if (failure == RelayFailure::kNotSent) {
    context_.reach.OnNotConnected(server_->record());
    --attempts_;
    may_have_run_ = earlier_may_have_run_;
    UnassignServer();
    context_.recorder.OnRetry(request_.id, "connect", server, "no connection");
    SendToServer();
    return;
  }
  context_.reach.OnNoAnswer(server_->record());
  ReportCrash();
  earlier_may_have_run_ = true;
  UnassignServer();
  if (repeatable() && TryRetry("broken", "the connection broke")) {
    return;
  }
  Fail("the server's answer broke off");
}

void RequestFlow::AbandonAnswer() {
  attempt_->Cancel();
  OnAttemptFailure(RelayFailure::kMalformed);
}

bool RequestFlow::AddCrashOfParts() {
  return !HasProvenItself() &&
         context_.suspect_parts.OnCrash(
             context_.loop.Now(), server_->record().id,
             server_->record().incarnation(), fingerprint_, shared_parts_);
}

void RequestFlow::ReportCrash() {
  context_.suspects.OnCrash(context_.loop.Now(), server_->record().id,
                            server_->record().incarnation(),
                            {&fingerprint_, 1});
  const std::size_t crashes = context_.suspects.CrashesOf(fingerprint_);
  context_.recorder.OnServerBroke(
      {request_.id, fingerprint_, server_->record().id, crashes});
  // The caller sends the request again at once, to any daemon. A first crash is
  // told by the next heartbeat: most such requests only ran beside the cause.
  const bool is_known_part = AddCrashOfParts();
  if (crashes > 1 || is_known_part) {
    context_.cluster.SendUpdate(Cluster::UpdateScope::kGossip);
  }
}

}  // namespace gentianroute::gateway
