#include "gentianroute/gateway/request_flow.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gentianroute/base/problem.h"
#include "gentianroute/decision/unit_interval_hash.h"
#include "gentianroute/gateway/detail/request_attempt.h"
#include "gentianroute/gateway/detail/request_limits.h"
#include "gentianroute/observe/log.h"

// Admission, time limits, refusal and end of a request.

namespace gentianroute::gateway {
namespace {

using detail::kMaxBackoffWait;
using detail::kMinAnswerTime;
using detail::kTypicalAnswerTime;

/// Bounds of the Retry-After field.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
/// For errors that callers may retry, unless the stage pools are busy for
/// longer.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

Fingerprint FingerprintOf(std::string_view key,
                          std::string_view target,
                          std::string_view body) {
  std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  hash = XXH3_64bits_withSeed(target.data(), target.size(), hash);
  return Fingerprint{XXH3_64bits_withSeed(body.data(), body.size(), hash)};
}

/// All parts but the last, which is unique to the request.
std::vector<Fingerprint> SharedPartsOf(const routing::Prompt& prompt) {
  std::vector<Fingerprint> parts;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const std::string& id = prompt.parts[i].id;
    parts.push_back(Fingerprint{XXH3_64bits(id.data(), id.size())});
  }
  return parts;
}

/// The regions that a route and an organisation both permit. Each limits
/// nothing if it is null.
routing::PermittedRegions RegionsOf(const routing::Route* route,
                                    const routing::Organisation* organisation) {
  routing::PermittedRegions regions;
  if (route != nullptr) {
    regions = regions.IntersectedWith(route->permitted_regions);
  }
  if (organisation != nullptr) {
    regions = regions.IntersectedWith(organisation->permitted_regions);
  }
  return regions;
}

}  // namespace

void RequestFlow::Begin(FlowContext& context,
                        RelayExchangePtr exchange,
                        routing::RouteTablePtr table,
                        List& all,
                        const RequestProgress& progress,
                        OnAnswerSource on_source) {
  const Ptr flow(new RequestFlow(context, std::move(exchange), std::move(table),
                                 all, progress, std::move(on_source)));
  flow->self_ = flow;
  if (flow->exchange_->lacks_body()) {
    flow->Refuse(ErrorKind::kOverloaded, "no memory for the request's body");
    return;
  }
  if (const auto kind = flow->Admit()) {
    flow->Refuse(*kind, "");
    return;
  }
  if (flow->RefuseIfCrashing()) {
    return;
  }
  flow->Start();
}

RequestFlow::RequestFlow(FlowContext& context,
                         RelayExchangePtr exchange,
                         routing::RouteTablePtr table,
                         List& all,
                         const RequestProgress& progress,
                         OnAnswerSource on_source)
    : context_(context),
      exchange_(std::move(exchange)),
      table_(std::move(table)),
      min_deployment_version_(progress.deployment_version),
      request_(context.translator.ReadRequest(exchange_->head())),
      started_at_(exchange_->start_time()),
      origin_(progress.origin),
      on_source_(std::move(on_source)),
      attempts_(progress.attempts),
      hops_(progress.hops),
      may_have_run_(progress.may_have_run),
      earlier_may_have_run_(progress.may_have_run) {
  if (!progress.resume_after.empty()) {
    request_.resume_after = progress.resume_after;
  }
  all.push_back(*this);
  exchange_->SetOnDisconnect([this] { OnCallerDisconnect(); });
}

RequestFlow::~RequestFlow() = default;

std::optional<ErrorKind> RequestFlow::Admit() {
  if (table_ == nullptr || table_->version() < min_deployment_version_) {
    return ErrorKind::kNotReady;
  }
  if (request_.id.empty() || request_.has_invalid_text) {
    return ErrorKind::kMalformedRequest;
  }
  route_ = table_->Find(request_.host, exchange_->head().target);
  if (route_ == nullptr) {
    return ErrorKind::kUnknownService;
  }
  if (const auto kind = CheckKey()) {
    return kind;
  }
  service_name_ = routing::PickService(*route_, HashToUnitInterval(StreamId()));
  service_ = table_->FindService(service_name_);
  placement_.emplace(context_.placement_rules,
                     RegionsOf(route_, organisation_));
  if (placement_->regions().PermitsNone()) {
    return ErrorKind::kNoPermittedRegion;
  }
  if (const routing::StreamOrigin* known = context_.streams.Find(StreamId());
      known != nullptr && TakesUpStream()) {
    origin_ = *known;
  }
  if (origin_ && !BindTo(*origin_)) {
    return ErrorKind::kNoServer;
  }
  fingerprint_ = FingerprintOf(request_.key.value_or(""),
                               exchange_->head().target, exchange_->body());
  shared_parts_ = SharedPartsOf(request_.prompt);
  return std::nullopt;
}

bool RequestFlow::RefuseIfCrashing() {
  const TimePoint now = context_.loop.Now();
  if (context_.suspect_parts.IsAnyBlamed(now, shared_parts_)) {
    Refuse(ErrorKind::kOverloaded, "a part of the prompt has crashed servers");
    return true;
  }
  if (context_.suspects.IsQuarantined(now, fingerprint_) ||
      context_.suspects.IsQuarantinePending(now, fingerprint_)) {
    Refuse(ErrorKind::kOverloaded, "the request has crashed servers");
    return true;
  }
  return false;
}

std::optional<ErrorKind> RequestFlow::CheckKey() {
  if (!table_->deployment().organisations || route_->is_public) {
    return std::nullopt;
  }
  if (!request_.key || request_.has_invalid_key) {
    return ErrorKind::kUnauthorised;
  }
  organisation_ = table_->FindOrganisation(*request_.key);
  if (organisation_ == nullptr) {
    return ErrorKind::kUnauthorised;
  }
  return std::nullopt;
}

void RequestFlow::Start() {
  const Duration caller_timeout = request_.timeout.value_or(route_->timeout);
  deadline_ = started_at_ + std::min(caller_timeout, route_->timeout);
  if (IsGeneration()) {
    weight_ = context_.weights.Of(route_->name, request_.prompt.tokens_in);
  }
  plan_.emplace(route_->stages, request_.stage_pieces);
  deadline_timer_ = context_.loop.At(deadline_, [this] { OnTimeout(); });
  // A peer's answer would come too late as well.
  if (RefuseIfDraining()) {
    return;
  }
  if (HandToPeer()) {
    return;
  }
  if (TakesUpStream() && !origin_) {
    LookUpOrigin();
    return;
  }
  StartHere();
}

void RequestFlow::StartHere() {
  // Before its stages run: the peer runs them again.
  if (const routing::ServerChoice choice = ChooseServer();
      choice.server == nullptr &&
      (HandToSender() || HandToOtherSender(choice))) {
    return;
  }
  context_.retry_budgets.OnRequest(service_name_,
                                   context_.cluster.live_daemons());
  if (RefuseIfNoPlace() || RefuseIfStagesLate() || RefuseIfBackedOff() ||
      RefuseIfDraining()) {
    return;
  }
  stages_timer_ =
      context_.loop.At(StagesDeadline(), [this] { OnStagesOverdue(); });
  if (const routing::ServerChoice choice = ChooseServer();
      choice.server != nullptr) {
    home_data_centre_ = choice.server->record().data_centre;
  }
  RecordAdmission();
  Advance();
}

void RequestFlow::RecordAdmission() {
  std::string pieces;
  for (const std::uint32_t count : request_.stage_pieces) {
    pieces += (pieces.empty() ? "" : ",") + std::to_string(count);
  }
  RequestAdmitted admitted;
  admitted.id = request_.id;
  admitted.route = route_->name;
  admitted.organisation =
      organisation_ == nullptr ? std::string_view{} : organisation_->name;
  admitted.deployment_version = table_->version();
  admitted.stage_pieces = pieces;
  admitted.home_data_centre = home_data_centre_;
  admitted.time_left = TimeLeft();
  admitted.expected_stage_time = expected_stage_time_;
  admitted.fingerprint = fingerprint_;
  admitted.stream_begun_by = request_.stream_begun_by;
  admitted.resume_after = request_.resume_after;
  context_.recorder.OnAdmitted(admitted);
}

bool RequestFlow::RefuseIfNoPlace() {
  const auto& servers = context_.servers.ServersOf(service_name_);
  // Without any open server, those that are being replaced may be back when
  // the stages are done.
  const bool has_open = std::any_of(
      servers.begin(), servers.end(),
      [](const routing::ServerPtr& server) { return server->open(); });
  if (!has_open || routing::HasPlace(servers, *placement_)) {
    return false;
  }
  Refuse(ErrorKind::kNoServer,
         origin_
             ? "no server of the version that began the stream may be used"
             : "all servers are evacuated or outside the permitted regions");
  return true;
}

bool RequestFlow::RefuseIfStagesLate() {
  if (!context_.stage_router.HasServers(*plan_, *placement_)) {
    Refuse(ErrorKind::kNoServer, "a stage has no server");
    return true;
  }
  const TimePoint now = context_.loop.Now();
  expected_stage_time_ =
      context_.stage_router.EstimatedTime(now, *plan_, *placement_);
  if (now + expected_stage_time_ > StagesDeadline()) {
    Refuse(ErrorKind::kOverloaded, "the stages can't be done in time");
    return true;
  }
  return false;
}

Duration RequestFlow::BackoffLeft() const {
  return placement_
             ? routing::BackoffLeft(context_.loop.Now(),
                                    context_.servers.ServersOf(service_name_),
                                    *placement_)
             : Duration{0};
}

bool RequestFlow::RefuseIfBackedOff() {
  if (BackoffLeft() <= std::max(expected_stage_time_, kMaxBackoffWait)) {
    return false;
  }
  Refuse(ErrorKind::kOverloaded, "all servers have asked for a backoff");
  return true;
}

Duration RequestFlow::ExpectedAnswerTime() const {
  const routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  if (IsGeneration()) {
    return TypicalTimeToFirstByte() +
           estimate.DecodeTime(request_.prompt.tokens_out);
  }
  return route_->kind == routing::RouteKind::kStream
             ? estimate.ServiceTime() + estimate.StreamTime()
             : estimate.ServiceTime();
}

routing::AnswerTimes RequestFlow::TimesOfAnswer(Duration stage_time) const {
  return {stage_time + ExpectedAnswerTime(), deadline_,
          route_->kind == routing::RouteKind::kIdempotent};
}

bool RequestFlow::RefuseIfDraining() {
  if (context_.drain_times.CanAccept(context_.loop.Now(),
                                     TimesOfAnswer(expected_stage_time_))) {
    return false;
  }
  Refuse(ErrorKind::kShuttingDown, "the daemon may stop before it can answer");
  return true;
}

bool RequestFlow::RefuseIfTooLateToSend() {
  if (may_have_run_ || answer_begun_ ||
      context_.drain_times.CanSend(context_.loop.Now(),
                                   TimesOfAnswer(Duration{0}))) {
    return false;
  }
  Refuse(ErrorKind::kShuttingDown, "the daemon stops before it can answer");
  return true;
}

Duration RequestFlow::MinAnswerTime() const {
  if (route_->kind != routing::RouteKind::kStream) {
    return kMinAnswerTime;
  }
  const routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  return kMinAnswerTime + estimate.DecodeTime(TokensExpected());
}

double RequestFlow::TokensExpected() const {
  return std::min(request_.prompt.tokens_expected, request_.prompt.tokens_out);
}

Duration RequestFlow::TypicalTimeToFirstByte() const {
  if (!IsGeneration()) {
    return kTypicalAnswerTime;
  }
  const routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  return estimate.TimeToFirstEvent(request_.prompt.OwnTokens()) +
         context_.topology.RoundTrip(home_data_centre_);
}

TimePoint RequestFlow::StagesDeadline() const {
  // The caller of a resumed stream has been waiting since its last event.
  const TimePoint since = std::max(started_at_, last_byte_at_);
  const TimePoint first =
      since + route_->FirstByteTimeout() - kTypicalAnswerTime;
  return std::min(deadline_ - MinAnswerTime(), first);
}

Duration RequestFlow::TimeLeft() const {
  return deadline_ - context_.loop.Now();
}

void RequestFlow::Refuse(ErrorKind kind, std::string_view detail) {
  if (AnswerFor(kind).retry_after.count() == 0) {
    Refuse(kind, detail, std::nullopt);
    return;
  }
  // A caller that retried before the backlog is done would meet the same queue,
  // and before the end of a backoff the same refusal.
  const Duration busy = plan_ ? context_.stage_router.BacklogTime(
                                    context_.loop.Now(), *plan_, *placement_)
                              : Duration{0};
  Refuse(kind, detail, std::max({busy, BackoffLeft(), kDefaultRetryAfter}));
}

void RequestFlow::Refuse(ErrorKind kind,
                         std::string_view detail,
                         std::optional<Duration> retry_after) {
  const ErrorAnswer answer = AnswerFor(kind);
  const bool says_not_run = answer.work == ExecutionState::kNotRun;
  // An error can't be sent in the middle of a stream, and must not claim that
  // the request has not run if it may have. Both cases occur when a failed
  // attempt can't be repeated.
  if (answer_begun_ || (says_not_run && may_have_run_)) {
    Fail(detail);
    return;
  }
  if (retry_after) {
    retry_after = std::clamp(*retry_after, kMinRetryAfter, kMaxRetryAfter);
  }
  exchange_->Respond(
      answer.http_status,
      context_.translator.OwnAnswerFields(request_.id, retry_after),
      ProblemBody(kind, detail, request_.id));
  Finish(answer.name, answer.http_status, detail);
}

void RequestFlow::Fail(std::string_view detail) {
  const ErrorKind kind =
      answer_begun_ ? ErrorKind::kStreamBroken : ErrorKind::kOutcomeUnknown;
  if (answer_begun_) {
    exchange_->Abort();
    Finish(AnswerFor(kind).name, 0, detail);
    return;
  }
  constexpr int kBadGateway = 502;
  exchange_->Respond(
      kBadGateway,
      context_.translator.OwnAnswerFields(request_.id, std::nullopt),
      ProblemBody(kind, detail, request_.id));
  Finish(AnswerFor(kind).name, kBadGateway, detail);
}

void RequestFlow::OnTimeout() {
  const Ptr keep(this);
  if (answer_begun_) {
    Fail("the time limit passed");
    return;
  }
  if (!may_have_run_) {
    Refuse(ErrorKind::kDeadlineBeforeStart, "the time limit passed");
    return;
  }
  if (server_ != nullptr) {
    server_->history().OnConnectionFailure(context_.loop.Now());
  }
  Refuse(ErrorKind::kDeadlineExceeded, "the time limit passed", std::nullopt);
}

void RequestFlow::OnDeploymentChanged(const routing::RouteTable& table) {
  if (!placement_) {
    return;
  }
  const routing::Route* route =
      table.Find(request_.host, exchange_->head().target);
  const routing::Organisation* organisation =
      organisation_ == nullptr ? nullptr
                               : table.FindOrganisation(*request_.key);
  routing::PermittedRegions regions =
      placement_->regions().IntersectedWith(RegionsOf(route, organisation));
  if (regions == placement_->regions()) {
    return;
  }
  LogEvent("regions_changed", LogLevel::kWarning)
      .ForRequest(request_.id, LogPriority::kHigh)
      .Field("version", table.version());
  placement_->SetRegions(std::move(regions));
}

void RequestFlow::OnShutdown() {
  Refuse(ErrorKind::kShuttingDown, "the daemon is stopping");
}

void RequestFlow::OnCallerDisconnect() {
  Finish("caller_gone", 0, "");
}

void RequestFlow::Finish(std::string_view outcome,
                         int status,
                         std::string_view detail) {
  const Ptr keep(std::exchange(self_, nullptr));
  if (keep == nullptr) {
    return;
  }
  const TimePoint now = context_.loop.Now();
  context_.loop.Cancel(deadline_timer_);
  context_.loop.Cancel(answer_timer_);
  context_.loop.Cancel(stages_timer_);
  if (plan_) {
    ReleaseResults(plan_->TakeAll());
  }
  RequestEnd end;
  end.id = request_.id;
  end.route = route_ == nullptr ? std::string_view{} : route_->name;
  end.organisation =
      organisation_ == nullptr ? std::string_view{} : organisation_->name;
  end.service = service_name_;
  end.server = tried_.empty() ? std::string_view{} : tried_.back();
  end.outcome = outcome;
  end.detail = detail;
  end.status = status;
  end.attempts = attempts_;
  end.deployment_version = table_ == nullptr ? 0 : table_->version();
  end.stages_time = stages_done_at_ == TimePoint{}
                        ? Duration{0}
                        : stages_done_at_ - started_at_;
  end.time_to_first_byte = first_byte_at_ == TimePoint{}
                               ? Duration{0}
                               : first_byte_at_ - started_at_;
  end.total_time = now - started_at_;
  end.kind = route_ == nullptr ? routing::RouteKind::kIdempotent : route_->kind;
  context_.recorder.OnEnd(end);
  UnassignServer();
  running_stages_.clear();
  origin_lookup_.reset();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
  }
  exchange_->SetOnDisconnect(nullptr);
}

}  // namespace gentianroute::gateway
