#include <array>
#include <utility>

#include "gentianroute/admission/return_time.h"
#include "gentianroute/decision/unit_interval_hash.h"
#include "gentianroute/gateway/detail/request_limits.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/observe/log.h"

// Running the stages of a request and handling their results.

namespace gentianroute::gateway {
namespace {

using detail::kMaxRecomputations;

std::string_view NameOf(std::optional<routing::StageFailure> failure) {
  constexpr std::array<std::string_view, 5> kNames = {
      "late", "input_gone", "failed", "no_server", "moved"};
  return failure ? kNames[static_cast<std::size_t>(*failure)] : "done";
}

}  // namespace

void RequestFlow::Advance() {
  if (HandToPeer()) {
    return;
  }
  if (plan_->complete()) {
    stages_done_at_ = context_.loop.Now();
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
  group.work_class = route_->name + ":" + std::to_string(stage);
  // Both deadlines leave time for the stages and the answer that follow.
  group.soft_deadline = started_at_ + route_->target -
                        TypicalTimeToFirstByte() -
                        context_.stage_router.TypicalTimeAfter(*plan_, stage);
  group.deadline =
      StagesDeadline() - context_.stage_router.MinTimeAfter(*plan_, stage);
  group.priority = organisation_ != nullptr && organisation_->priority
                       ? *organisation_->priority
                       : route_->priority;
  group.weight = weight_;
  group.submitted_at = context_.loop.Now();
  plan_->Start(stage);
  running_stages_[stage] = context_.stage_router.Run(
      spec.service, *placement_, std::move(group),
      PlacedResults(spec.after, plan_->pieces(stage)), home_data_centre_,
      [this, stage](StageOutcome outcome) {
        OnStageEnd(stage, std::move(outcome));
      });
}

std::vector<routing::PlacedBytes> RequestFlow::PlacedResults(
    std::span<const std::uint32_t> stages,
    std::uint32_t reading_pieces) const {
  std::vector<routing::PlacedBytes> placed;
  for (const std::uint32_t stage : stages) {
    const auto found = result_data_centres_.find(stage);
    if (found != result_data_centres_.end()) {
      placed.push_back(routing::InputTransfer(
          found->second, static_cast<double>(plan_->spec(stage).result_bytes),
          plan_->pieces(stage), reading_pieces));
    }
  }
  return placed;
}

void RequestFlow::OnStageEnd(std::uint32_t stage, StageOutcome outcome) {
  const Ptr keep(this);
  const auto handle = running_stages_.extract(stage);
  LogEvent("stage_end")
      .ForRequest(request_.id, LogPriority::kLow)
      .Field("stage", stage)
      .Field("data_centre", outcome.data_centre)
      .Field("outcome", NameOf(outcome.group.failure))
      .Field("at_ms", WholeMilliseconds(context_.loop.Now() - started_at_));
  if (outcome.group.failure) {
    OnStageFailure(stage, outcome.group);
    return;
  }
  result_data_centres_[stage] = std::move(outcome.data_centre);
  plan_->Finish(stage, std::move(outcome.group.results));
  ReleaseResults(plan_->TakeUnneeded());
  Advance();
}

void RequestFlow::OnStageFailure(std::uint32_t stage,
                                 const GroupOutcome& outcome) {
  using routing::StageFailure;
  switch (*outcome.failure) {
    case StageFailure::kLate:
      RefuseLateStage(outcome.room_in);
      return;
    case StageFailure::kMoved:  // handled by the stage router
    case StageFailure::kNoServer:
      Refuse(ErrorKind::kNoServer, "a stage has no server");
      return;
    case StageFailure::kFailed:
      Refuse(ErrorKind::kNoServer, "a stage failed too many times");
      return;
    case StageFailure::kInputGone:
      break;
  }
  if (++recomputations_ > kMaxRecomputations) {
    Refuse(ErrorKind::kNoServer, "stage results were lost too many times");
    return;
  }
  context_.recorder.OnRetry(request_.id, "stage", "",
                            "a stage input no longer exists");
  ReleaseResults(plan_->RecomputeInputs(stage));
  Advance();
}

void RequestFlow::RefuseLateStage(Duration room_in) {
  constexpr std::string_view kDetail = "a stage can't be done in time";
  if (room_in.count() == 0) {
    Refuse(ErrorKind::kDeadlineTooShort, kDetail);
    return;
  }
  Refuse(ErrorKind::kDeadlineTooShort, kDetail,
         admission::ReturnTime(room_in, HashToUnitInterval(request_.id)));
}

void RequestFlow::ReleaseResults(std::vector<routing::StageResults> unneeded) {
  for (routing::StageResults& stage : unneeded) {
    context_.stage_router.Release(plan_->spec(stage.stage).service,
                                  result_data_centres_[stage.stage],
                                  std::move(stage.results));
  }
}

void RequestFlow::OnStagesOverdue() {
  const Ptr keep(this);
  if (!plan_->complete() && !answer_begun_) {
    Refuse(ErrorKind::kDeadlineTooShort, "the stages took too long");
  }
}

}  // namespace gentianroute::gateway
