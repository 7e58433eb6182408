#include "gentianroute/gateway/request_flow.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gentianroute/base/problem.h"
#include "gentianroute/loop/message_text.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kFirstFailure = 300;
constexpr int kFirstServerFailure = 500;
constexpr int kConflict = 409;

/// What the server of a request takes beyond the stages, when nothing is known
/// of it: one way to another region and back, and the first tokens.
constexpr Duration kUsualAnswer = std::chrono::milliseconds(150);
/// No server answers sooner.
constexpr Duration kLeastAnswer = std::chrono::milliseconds(20);
/// What a model server takes before the first token and for each more, when
/// nothing waits there; its steps take 6 ms and more.
constexpr Duration kLeastFirstToken = std::chrono::milliseconds(50);
constexpr Duration kLeastToken = std::chrono::milliseconds(7);
/// Part of its target after which a repeatable request that has no answer is
/// sent to another server: a silent server shows in no other way.
constexpr double kOverdueShare = 0.5;
/// Connections idle for longer are not used for what must run at most once: a
/// server that closes just then leaves it open whether the request has run.
constexpr Duration kReuseOnce = std::chrono::milliseconds(1500);
constexpr Duration kReuse = std::chrono::seconds(4);
/// Bounds on what callers are told to wait before they ask again.
constexpr Duration kShortestWait = std::chrono::milliseconds(100);
constexpr Duration kUsualWait = std::chrono::milliseconds(300);
constexpr Duration kLongestWait = std::chrono::seconds(5);
/// Results that are lost again and again are not made for ever.
constexpr std::uint32_t kMostRemakes = 2;

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

/// One try at one server.
class RequestFlow::Send final : public RelayCallObserver {
 public:
  Send(RequestFlow& flow, RelayCall call) : flow_(&flow) {
    id_ = flow.services_.client.Call(std::move(call), *this);
  }
  ~Send() override { Drop(); }

  /// Closes the connection; nothing more is heard.
  void Drop() {
    if (RequestFlow* flow = std::exchange(flow_, nullptr)) {
      flow->services_.client.Cancel(id_);
    }
  }

  void OnHead(MessageHead head) override {
    const Ptr flow(flow_);
    flow->OnHead(flow->services_.translator.ReadAnswer(head));
  }
  void OnBody(std::string_view part) override {
    const Ptr flow(flow_);
    flow->OnBody(part);
  }
  void OnDone() override {
    const Ptr flow(std::exchange(flow_, nullptr));
    flow->OnAnswered();
  }
  void OnFailure(RelayFailure failure) override {
    const Ptr flow(std::exchange(flow_, nullptr));
    flow->OnBroken(failure);
  }

 private:
  RequestFlow* flow_;
  RelayCallId id_;
};

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
      began_(exchange_->began()) {
  all.push_back(*this);
  exchange_->SetOnGone([this] { OnCallerGone(); });
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
  service_ = table_->Service(service_name_);
  fingerprint_ = FingerprintOf(request_.key.value_or(""),
                               exchange_->head().target, exchange_->body());
  const TimePoint now = services_.loop.Now();
  if (services_.suspects.IsQuarantined(now, fingerprint_) ||
      services_.suspects.IsAccused(now, fingerprint_)) {
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

std::optional<ErrorKind> RequestFlow::CheckKey() {
  if (!table_->deployment().organisations || route_->is_public) {
    return std::nullopt;
  }
  if (!request_.key || request_.has_odd_key) {
    return ErrorKind::kUnauthorised;
  }
  organisation_ = table_->Holder(*request_.key);
  if (organisation_ == nullptr) {
    return ErrorKind::kUnauthorised;
  }
  return std::nullopt;
}

void RequestFlow::Start() {
  const Duration patience = request_.patience.value_or(route_->timeout);
  limit_ = began_ + std::min(patience, route_->timeout);
  plan_.emplace(route_->stages, request_.stage_pieces);
  services_.retries.OnRequest(service_name_, services_.cluster.live_daemons());
  if (const auto kind = CheckTime()) {
    return;
  }
  limit_timer_ = services_.loop.At(limit_, [this] { OnTimeout(); });
  stages_timer_ = services_.loop.At(StagesBy(), [this] { OnStagesOverdue(); });
  if (const routing::Choice home = ChooseServer(); home.server != nullptr) {
    home_ = home.server->record().data_centre;
  }
  Advance();
}

std::optional<ErrorKind> RequestFlow::CheckTime() {
  const TimePoint now = services_.loop.Now();
  const Duration need = services_.stages.TimeFor(now, *plan_);
  if (!services_.stages.HasServers(*plan_)) {
    Refuse(ErrorKind::kNoServer, "a stage has no server");
    return ErrorKind::kNoServer;
  }
  if (now + need > StagesBy()) {
    Refuse(ErrorKind::kOverloaded, "the stages can't be done in time");
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

Duration RequestFlow::LeastAnswer() const {
  if (route_->kind != routing::RouteKind::kStream) {
    return kLeastAnswer;
  }
  const double tokens =
      std::min(request_.prompt.tokens_expected, request_.prompt.tokens_out);
  return kLeastFirstToken +
         std::chrono::duration_cast<Duration>(kLeastToken * tokens);
}

TimePoint RequestFlow::StagesBy() const {
  const TimePoint first = began_ + route_->FirstPartWithin() - kUsualAnswer;
  return std::min(limit_ - LeastAnswer(), first);
}

Duration RequestFlow::TimeLeft() const {
  return limit_ - services_.loop.Now();
}

void RequestFlow::Advance() {
  if (plan_->complete()) {
    stages_done_ = services_.loop.Now();
    SendToServer();
    return;
  }
  for (const std::uint32_t stage : plan_->Ready()) {
    RunStage(stage);
  }
}

void RequestFlow::RunStage(std::uint32_t stage) {
  const routing::StageSpec& spec = plan_->spec(stage);
  routing::StageGroup group;
  group.request = request_.id;
  group.stage = stage;
  group.pieces = plan_->pieces(stage);
  group.inputs = plan_->InputsOf(stage);
  group.key = request_.stage_key;
  group.result_bytes = static_cast<double>(spec.result_bytes);
  group.work = route_->name + ":" + std::to_string(stage);
  // What comes after this stage has to fit behind it.
  group.wanted = began_ + route_->target - kUsualAnswer -
                 services_.stages.UsualAfter(*plan_, stage);
  group.deadline = StagesBy() - services_.stages.LeastAfter(*plan_, stage);
  group.priority = organisation_ != nullptr && organisation_->priority
                       ? *organisation_->priority
                       : route_->priority;
  plan_->Begin(stage);
  running_[stage] = services_.stages.Run(
      spec.service, std::move(group), PlacedResults(spec.after),
      static_cast<double>(spec.result_bytes), home_,
      [this, stage](StageOutcome outcome) {
        OnStageEnd(stage, std::move(outcome));
      });
}

std::vector<routing::PlacedBytes> RequestFlow::PlacedResults(
    std::span<const std::uint32_t> stages) const {
  std::vector<routing::PlacedBytes> placed;
  for (const std::uint32_t stage : stages) {
    const auto found = results_in_.find(stage);
    if (found != results_in_.end()) {
      placed.push_back(
          {found->second, static_cast<double>(plan_->spec(stage).result_bytes) *
                              plan_->pieces(stage)});
    }
  }
  return placed;
}

void RequestFlow::OnStageEnd(std::uint32_t stage, StageOutcome outcome) {
  const Ptr keep(this);
  const auto hold = running_.extract(stage);
  if (outcome.group.failure) {
    OnStageFailure(stage, *outcome.group.failure);
    return;
  }
  results_in_[stage] = std::move(outcome.data_centre);
  plan_->Finish(stage, std::move(outcome.group.results));
  Release(plan_->TakeSpent());
  Advance();
}

void RequestFlow::OnStageFailure(std::uint32_t stage,
                                 routing::StageFailure failure) {
  using routing::StageFailure;
  switch (failure) {
    case StageFailure::kLate:
      Refuse(ErrorKind::kDeadlineTooShort, "a stage can't be done in time");
      return;
    case StageFailure::kNoServer:
      Refuse(ErrorKind::kNoServer, "a stage has no server");
      return;
    case StageFailure::kFailed:
      Refuse(ErrorKind::kNoServer, "a stage failed again and again");
      return;
    case StageFailure::kInputGone:
      break;
  }
  if (++remakes_ > kMostRemakes) {
    Refuse(ErrorKind::kNoServer, "results of stages were lost again and again");
    return;
  }
  services_.journal.OnRepeat(request_.id, "stage", "", "an input is gone");
  Release(plan_->RemakeInputsOf(stage));
  Advance();
}

void RequestFlow::Release(std::vector<routing::StageResults> spent) {
  for (routing::StageResults& stage : spent) {
    services_.stages.Release(plan_->spec(stage.stage).service,
                             results_in_[stage.stage],
                             std::move(stage.results));
  }
}

routing::Choice RequestFlow::ChooseServer() const {
  const TimePoint now = services_.loop.Now();
  const auto& servers = services_.servers.In(service_name_);
  if (service_ != nullptr && service_->model) {
    const auto inputs = PlacedResults(plan_->FinalStages());
    return routing::ChooseModel(now, servers, tried_, request_.prompt, inputs,
                                *service_->model, services_.topology);
  }
  return routing::ChoosePlain(now, servers, tried_, services_.topology);
}

std::string RequestFlow::MessageFor(const routing::Server& server) const {
  ServerRequest added;
  added.expected_server = server.record().id;
  if (organisation_ != nullptr) {
    added.organisation = organisation_->name;
  }
  added.time_left = TimeLeft();
  added.inputs = plan_->FinalInputs();
  added.resume_after =
      events_.last_id().empty() ? request_.resume_after : events_.last_id();
  const MessageHead& head = exchange_->head();
  const std::string& body = exchange_->body();
  const bool bodiless =
      body.empty() && (head.method == "GET" || head.method == "HEAD" ||
                       head.method == "DELETE");
  return RequestHeadText(head.method, head.target,
                         services_.translator.ServerFields(request_, added),
                         bodiless ? BodyFraming::kNone : BodyFraming::kLength,
                         body.size()) +
         body;
}

void RequestFlow::SendToServer() {
  const routing::Choice choice = ChooseServer();
  if (choice.server == nullptr) {
    if (may_have_run_) {
      BreakOff("no other server is left");
    } else {
      Refuse(ErrorKind::kNoServer, "no server can take it");
    }
    return;
  }
  tried_.push_back(choice.server->record().id);
  const routing::ServerRecord& record = choice.server->record();
  RelayCall call;
  call.endpoint = {record.address, record.port};
  call.message = MessageFor(*choice.server);
  call.answer_has_no_body = exchange_->head().method == "HEAD";
  call.reuse_within = repeatable() ? kReuse : kReuseOnce;
  call.is_ours = [&translator = services_.translator,
                  id = request_.id](const MessageHead& head) {
    return translator.IsAnswerTo(head, id);
  };
  Occupy(choice.server);
  sent_at_ = services_.loop.Now();
  ++sends_;
  may_have_run_ = true;
  answer_ = {};
  body_.clear();
  send_ = std::make_unique<Send>(*this, std::move(call));
  services_.loop.Cancel(overdue_timer_);
  if (repeatable()) {
    const auto wait =
        std::chrono::duration_cast<Duration>(route_->target * kOverdueShare);
    overdue_timer_ = services_.loop.After(wait, [this] { OnOverdue(); });
  }
}

void RequestFlow::Occupy(const routing::ServerPtr& server) {
  Leave();
  server_ = server;
  occupied_.calls = 1;
  const routing::Prompt& prompt = request_.prompt;
  occupied_.tokens = prompt.tokens_in + prompt.tokens_out / 2;
  occupied_.unread_tokens =
      prompt.parts.empty() ? prompt.tokens_in : prompt.parts.back().tokens;
  server_->own() += occupied_;
}

void RequestFlow::Leave() {
  if (server_ == nullptr) {
    return;
  }
  routing::ServerLoad& load = server_->own();
  load.calls -= occupied_.calls;
  load.tokens -= occupied_.tokens;
  load.unread_tokens -= occupied_.unread_tokens;
  occupied_ = {};
  server_ = nullptr;
}

void RequestFlow::OnHead(const ServerAnswer& answer) {
  answer_ = answer;
  services_.loop.Cancel(overdue_timer_);
  const bool streams = route_->kind == routing::RouteKind::kStream &&
                       answer.status < kFirstFailure && !answer.not_run;
  if (streams && !answer_begun_) {
    answer_begun_ = true;
    exchange_->Begin(answer.status, answer.passed_on);
  }
}

void RequestFlow::OnBody(std::string_view part) {
  if (!answer_begun_ || answer_.status >= kFirstFailure) {
    body_.append(part);
    return;
  }
  if (first_at_ == TimePoint{}) {
    first_at_ = services_.loop.Now();
    server_->history().OnAnswer(first_at_, true, 1.0);
    server_->own().unread_tokens -= occupied_.unread_tokens;
    occupied_.unread_tokens = 0;
    // The server has read the results by now; a resumed run makes them again.
    Release(plan_->TakeAll());
  }
  RelayPart(part);
}

void RequestFlow::RelayPart(std::string_view part) {
  if (!route_->resumable) {
    exchange_->Write(part);
    return;
  }
  exchange_->Write(events_.Feed(part));
}

void RequestFlow::OnAnswered() {
  const TimePoint now = services_.loop.Now();
  if (answer_.not_run) {
    OnNotRun(answer_);
    return;
  }
  if (answer_begun_ && answer_.status < kFirstFailure) {
    Leave();
    exchange_->Write(events_.TakeRest());
    exchange_->End();
    services_.suspects.OnAnswered(fingerprint_);
    Finish("answered", answer_.status, "");
    return;
  }
  const bool failed = answer_.status >= kFirstServerFailure;
  server_->history().OnAnswer(now, !failed, 1.0);
  Leave();
  if (answer_begun_) {
    // A resumed run was refused after events had gone out.
    BreakOff("the server that should go on failed");
    return;
  }
  if (failed && repeatable() && TrySendAgain("failure", "server failure")) {
    return;
  }
  services_.suspects.OnAnswered(fingerprint_);
  exchange_->Answer(answer_.status, answer_.passed_on, body_);
  first_at_ = first_at_ == TimePoint{} ? now : first_at_;
  Finish(failed ? "server_failure" : "answered", answer_.status, "");
}

void RequestFlow::OnNotRun(const ServerAnswer& answer) {
  const std::string status = std::to_string(answer.status);
  const std::string server = server_->record().id;
  if (answer.status == kConflict && ++remakes_ <= kMostRemakes &&
      !answer_begun_) {
    services_.journal.OnRepeat(request_.id, "stage", server,
                               "the results are gone");
    Leave();
    tried_.pop_back();
    Release(plan_->RemakeInputsOf(static_cast<std::uint32_t>(plan_->stages())));
    Advance();
    return;
  }
  server_->history().OnBreak(services_.loop.Now());
  Leave();
  may_have_run_ = answer_begun_ || sends_ > 1;
  if (TrySendAgain("refused", status)) {
    return;
  }
  if (answer_begun_) {
    BreakOff("no server went on with the stream");
    return;
  }
  if (may_have_run_ && repeatable()) {
    BreakOff("the server refused it, and one before may have run it");
    return;
  }
  Refuse(ErrorKind::kOverloaded, "the server refused it: " + status);
}

void RequestFlow::OnBroken(RelayFailure failure) {
  const TimePoint now = services_.loop.Now();
  const std::string server = server_->record().id;
  server_->history().OnBreak(now);
  services_.loop.Cancel(overdue_timer_);
  if (failure == RelayFailure::kNotSent) {
    services_.suspects.OnServerDown(now, server);
    --sends_;
    may_have_run_ = answer_begun_ || sends_ > 0;
    Leave();
    services_.journal.OnRepeat(request_.id, "connect", server, "no connection");
    SendToServer();
    return;
  }
  ReportCrash();
  Leave();
  events_.DropRest();
  if (repeatable() && TrySendAgain("broken", "the connection broke")) {
    return;
  }
  BreakOff("the server's answer broke off");
}

void RequestFlow::ReportCrash() {
  services_.suspects.OnCrash(services_.loop.Now(), server_->record().id,
                             static_cast<std::uint64_t>(server_->record().born),
                             {&fingerprint_, 1});
}

bool RequestFlow::MaySendAgain() const {
  return sends_ < route_->max_attempts && TimeLeft() > kLeastAnswer;
}

bool RequestFlow::TrySendAgain(std::string_view what, std::string_view reason) {
  const std::size_t daemons = services_.cluster.live_daemons();
  if (!MaySendAgain() || !services_.retries.TryTake(service_name_, daemons)) {
    return false;
  }
  services_.journal.OnRepeat(request_.id, what,
                             tried_.empty() ? "" : tried_.back(), reason);
  old_sends_.push_back(std::move(send_));
  if (plan_->FinalInputs().empty() && !route_->stages.empty() &&
      answer_begun_) {
    // The results went when the first run had read them.
    Release(plan_->RemakeInputsOf(static_cast<std::uint32_t>(plan_->stages())));
    Advance();
    return true;
  }
  SendToServer();
  return true;
}

void RequestFlow::OnOverdue() {
  if (server_ == nullptr || answer_begun_ || answer_.status != 0) {
    return;
  }
  const Ptr keep(this);
  if (!MaySendAgain()) {
    return;
  }
  server_->history().OnBreak(services_.loop.Now());
  const routing::ServerPtr server = server_;
  if (TrySendAgain("overdue", "no answer yet")) {
    old_sends_.back()->Drop();
  }
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
  if (retry_after) {
    retry_after = std::clamp(*retry_after, kShortestWait, kLongestWait);
  }
  exchange_->Answer(
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
  exchange_->Answer(
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
    server_->history().OnBreak(services_.loop.Now());
  }
  Refuse(ErrorKind::kDeadlineExceeded, "the time limit passed", std::nullopt);
}

void RequestFlow::OnStagesOverdue() {
  const Ptr keep(this);
  if (!plan_->complete() && !answer_begun_) {
    Refuse(ErrorKind::kDeadlineTooShort, "the stages took too long");
  }
}

void RequestFlow::OnShutdown() {
  const Ptr keep(this);
  if (may_have_run_ || answer_begun_) {
    BreakOff("the daemon stops");
    return;
  }
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
  exchange_->SetOnGone(nullptr);
}

}  // namespace gentianroute::gateway
