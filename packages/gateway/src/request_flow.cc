#include "gentianroute/gateway/request_flow.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gentianroute/base/problem.h"
#include "gentianroute/gateway/detail/request_limits.h"
#include "gentianroute/gateway/detail/request_send.h"

// From the arrival of a request to its answer: admission, time limits,
// refusals.

namespace gentianroute::gateway {
namespace {

using detail::kLeastAnswer;
using detail::kUsualAnswer;

/// Bounds on what callers are told to wait before they ask again.
constexpr Duration kShortestWait = std::chrono::milliseconds(100);
constexpr Duration kUsualWait = std::chrono::milliseconds(300);
constexpr Duration kLongestWait = std::chrono::seconds(5);

Fingerprint FingerprintOf(std::string_view key,
                          std::string_view target,
                          std::string_view body) {
  std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  hash = XXH3_64bits_withSeed(target.data(), target.size(), hash);
  return Fingerprint{XXH3_64bits_withSeed(body.data(), body.size(), hash)};
}

/// Uniform in [0, 1), the same for the same request.
double DrawOf(std::string_view id) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(XXH3_64bits(id.data(), id.size())) / kRange;
}

}  // namespace

void RequestFlow::Begin(FlowServices& services,
                        RelayExchangePtr exchange,
                        routing::RouteTablePtr table,
                        List& all) {
  const Ptr flow(
      new RequestFlow(services, std::move(exchange), std::move(table), all));
  flow->self_ = flow;
  if (const auto kind = flow->Admit()) {
    flow->Refuse(*kind, "");
    return;
  }
  flow->Start();
}

RequestFlow::RequestFlow(FlowServices& services,
                         RelayExchangePtr exchange,
                         routing::RouteTablePtr table,
                         List& all)
    : services_(services),
      exchange_(std::move(exchange)),
      table_(std::move(table)),
      request_(services.translator.ReadRequest(exchange_->head())),
      began_(exchange_->start_time()) {
  all.push_back(*this);
  exchange_->SetOnDisconnect([this] { OnCallerGone(); });
}

RequestFlow::~RequestFlow() = default;

std::optional<ErrorKind> RequestFlow::Admit() {
  if (table_ == nullptr) {
    return ErrorKind::kNotReady;
  }
  if (request_.id.empty()) {
    return ErrorKind::kMalformedRequest;
  }
  route_ = table_->Find(request_.host, exchange_->head().target);
  if (route_ == nullptr) {
    return ErrorKind::kUnknownService;
  }
  if (const auto kind = CheckKey()) {
    return kind;
  }
  service_name_ = routing::PickService(*route_, DrawOf(request_.id));
  service_ = table_->FindService(service_name_);
  fingerprint_ = FingerprintOf(request_.key.value_or(""),
                               exchange_->head().target, exchange_->body());
  const TimePoint now = services_.loop.Now();
  if (services_.suspects.IsQuarantined(now, fingerprint_) ||
      services_.suspects.IsQuarantinePending(now, fingerprint_)) {
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
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
  limit_ = began_ + std::min(caller_timeout, route_->timeout);
  if (IsGeneration()) {
    weight_ = services_.weights.Of(route_->name, request_.prompt.tokens_in);
  }
  plan_.emplace(route_->stages, request_.stage_pieces);
  services_.retries.OnRequest(service_name_, services_.cluster.live_daemons());
  if (RefusedForTime() || RefusedForDrain()) {
    return;
  }
  limit_timer_ = services_.loop.At(limit_, [this] { OnTimeout(); });
  stages_timer_ = services_.loop.At(StagesBy(), [this] { OnStagesOverdue(); });
  if (const routing::ServerChoice home = ChooseServer();
      home.server != nullptr) {
    home_ = home.server->record().data_centre;
  }
  TellAdmitted();
  Advance();
}

void RequestFlow::TellAdmitted() {
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
  admitted.home = home_;
  admitted.time_left = TimeLeft();
  admitted.stages_expected = stages_expected_;
  services_.journal.OnAdmitted(admitted);
}

bool RequestFlow::RefusedForTime() {
  if (!services_.stages.HasServers(*plan_)) {
    Refuse(ErrorKind::kNoServer, "a stage has no server");
    return true;
  }
  const TimePoint now = services_.loop.Now();
  stages_expected_ = services_.stages.TimeFor(now, *plan_);
  if (now + stages_expected_ > StagesBy()) {
    Refuse(ErrorKind::kOverloaded, "the stages can't be done in time");
    return true;
  }
  return false;
}

bool RequestFlow::RefusedForDrain() {
  const routing::ServiceTimeEstimate& pace = services_.paces.Of(service_name_);
  const Duration answer =
      IsGeneration()
          ? UsualFirstPart() + pace.DecodeTime(request_.prompt.tokens_out)
          : pace.ServiceTime();
  if (services_.drain.CanAccept(services_.loop.Now(),
                                stages_expected_ + answer)) {
    return false;
  }
  Refuse(ErrorKind::kShuttingDown, "the daemon stops before it could answer");
  return true;
}

Duration RequestFlow::LeastAnswer() const {
  if (route_->kind != routing::RouteKind::kStream) {
    return kLeastAnswer;
  }
  const routing::ServiceTimeEstimate& pace = services_.paces.Of(service_name_);
  return kLeastAnswer + pace.DecodeTime(TokensExpected());
}

double RequestFlow::TokensExpected() const {
  return std::min(request_.prompt.tokens_expected, request_.prompt.tokens_out);
}

Duration RequestFlow::UsualFirstPart() const {
  if (!IsGeneration()) {
    return kUsualAnswer;
  }
  const routing::ServiceTimeEstimate& pace = services_.paces.Of(service_name_);
  return pace.TimeToFirstEvent(request_.prompt.OwnTokens()) +
         services_.topology.RoundTrip(home_);
}

TimePoint RequestFlow::StagesBy() const {
  // The caller of a stream that goes on elsewhere waits from its last event.
  const TimePoint since = std::max(began_, last_part_at_);
  const TimePoint first = since + route_->FirstByteTimeout() - kUsualAnswer;
  return std::min(limit_ - LeastAnswer(), first);
}

Duration RequestFlow::TimeLeft() const {
  return limit_ - services_.loop.Now();
}

void RequestFlow::Refuse(ErrorKind kind, std::string_view detail) {
  if (AnswerFor(kind).retry_after.count() == 0) {
    Refuse(kind, detail, std::nullopt);
    return;
  }
  // Who comes back sooner meets the same queue.
  const Duration busy =
      plan_ ? services_.stages.BusyFor(services_.loop.Now(), *plan_)
            : Duration{0};
  Refuse(kind, detail, std::max(busy, kUsualWait));
}

void RequestFlow::Refuse(ErrorKind kind,
                         std::string_view detail,
                         std::optional<Duration> retry_after) {
  const ErrorAnswer answer = AnswerFor(kind);
  const bool says_not_run = answer.work == ExecutionState::kNotRun;
  // An answer in the middle of a stream is no answer, and "not run" has to be
  // true: both come up when a broken run can't be made good.
  if (answer_begun_ || (says_not_run && may_have_run_)) {
    BreakOff(detail);
    return;
  }
  if (retry_after) {
    retry_after = std::clamp(*retry_after, kShortestWait, kLongestWait);
  }
  exchange_->Respond(
      answer.http_status,
      services_.translator.OwnAnswerFields(request_.id, retry_after),
      ProblemBody(kind, detail, request_.id));
  Finish(answer.name, answer.http_status, detail);
}

void RequestFlow::BreakOff(std::string_view detail) {
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
      services_.translator.OwnAnswerFields(request_.id, std::nullopt),
      ProblemBody(kind, detail, request_.id));
  Finish(AnswerFor(kind).name, kBadGateway, detail);
}

void RequestFlow::OnTimeout() {
  const Ptr keep(this);
  if (answer_begun_) {
    BreakOff("the time limit passed");
    return;
  }
  if (!may_have_run_) {
    Refuse(ErrorKind::kDeadlineBeforeStart, "the time limit passed");
    return;
  }
  if (server_ != nullptr) {
    server_->history().OnConnectionFailure(services_.loop.Now());
  }
  Refuse(ErrorKind::kDeadlineExceeded, "the time limit passed", std::nullopt);
}

void RequestFlow::OnShutdown() {
  Refuse(ErrorKind::kShuttingDown, "the daemon stops");
}

void RequestFlow::OnCallerGone() {
  Finish("caller_gone", 0, "");
}

void RequestFlow::Finish(std::string_view outcome,
                         int status,
                         std::string_view detail) {
  const Ptr keep(std::exchange(self_, nullptr));
  if (keep == nullptr) {
    return;
  }
  const TimePoint now = services_.loop.Now();
  services_.loop.Cancel(limit_timer_);
  services_.loop.Cancel(overdue_timer_);
  services_.loop.Cancel(stages_timer_);
  if (plan_) {
    Release(plan_->TakeAll());
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
  end.sends = sends_;
  end.deployment_version = table_ == nullptr ? 0 : table_->version();
  end.stages =
      stages_done_ == TimePoint{} ? Duration{0} : stages_done_ - began_;
  end.first = first_at_ == TimePoint{} ? Duration{0} : first_at_ - began_;
  end.total = now - began_;
  end.kind = route_ == nullptr ? routing::RouteKind::kIdempotent : route_->kind;
  services_.journal.OnEnd(end);
  Leave();
  running_.clear();
  if (send_ != nullptr) {
    send_->Drop();
  }
  exchange_->SetOnDisconnect(nullptr);
}

}  // namespace gentianroute::gateway
