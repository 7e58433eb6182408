#include <chrono>
#include <utility>

#include "gentianroute/gateway/detail/request_attempt.h"
#include "gentianroute/gateway/detail/request_limits.h"
#include "gentianroute/gateway/request_flow.h"
#include "gentianroute/routing/answer_watch.h"

// Retries, and the timers that detect servers which don't answer.

namespace gentianroute::gateway {

using detail::kMinAnswerTime;

void RequestFlow::StartFirstByteTimer() {
  context_.loop.Cancel(answer_timer_);
  if (!repeatable()) {
    return;
  }
  const routing::ServiceTimeEstimate& estimate =
      context_.service_times.Of(service_name_);
  // The shared parts may not be cached, so the timeout allows for their
  // prefill.
  const Duration answer =
      IsGeneration() ? estimate.TimeToFirstEvent(pending_prefill_tokens_ +
                                                 request_.prompt.tokens_in)
                     : std::chrono::duration_cast<Duration>(
                           estimate.ServiceTime() * waves_);
  const Duration expected =
      answer + context_.topology.RoundTrip(server_->record().data_centre);
  CheckAfter(routing::FirstByteOverdueAfter(*route_, expected),
             &RequestFlow::OnFirstByteOverdue);
}

void RequestFlow::CheckAfter(Duration wait, void (RequestFlow::*check)()) {
  answer_timer_ = context_.loop.After(wait, [this, check] {
    answer_timer_ = context_.loop.After(routing::kSocketReadGrace,
                                        [this, check] { (this->*check)(); });
  });
}

void RequestFlow::StartSilenceTimer() {
  CheckAfter(routing::StreamSilenceTimeout(*route_),
             &RequestFlow::OnSilenceTimer);
}

void RequestFlow::OnSilenceTimer() {
  if (server_ == nullptr) {
    return;
  }
  const TimePoint now = context_.loop.Now();
  if (server_->HasReceivedSince(now - routing::StreamSilenceTimeout(*route_))) {
    StartSilenceTimer();
    return;
  }
  const Ptr keep(this);
  server_->history().OnConnectionFailure(now);
  context_.reach.OnNoAnswer(server_->record());
  RetryAndCancel("silent", "the server stopped sending");
}

bool RequestFlow::CanRetry() const {
  return attempts_ < route_->max_attempts && TimeLeft() > kMinAnswerTime;
}

bool RequestFlow::TryRetry(std::string_view what, std::string_view reason) {
  const std::size_t daemons = context_.cluster.live_daemons();
  if (!CanRetry() || !context_.retry_budgets.TryTake(service_name_, daemons)) {
    return false;
  }
  context_.recorder.OnRetry(request_.id, what,
                            tried_.empty() ? "" : tried_.back(), reason);
  old_attempts_.push_back(std::move(attempt_));
  if (plan_->FinalInputs().empty() && !route_->stages.empty() &&
      answer_begun_) {
    // The stage results were released after the first attempt had read them.
    ReleaseResults(
        plan_->RecomputeInputs(static_cast<std::uint32_t>(plan_->stages())));
    Advance();
    return true;
  }
  SendToServer();
  return true;
}

void RequestFlow::OnFirstByteOverdue() {
  if (server_ == nullptr || answer_.status != 0) {
    return;
  }
  const Ptr keep(this);
  context_.reach.OnNoAnswer(server_->record());
  if (!CanRetry()) {
    return;
  }
  routing::RecordOverdue(context_.loop.Now(), sent_at_, *server_);
  RetryAndCancel("overdue", "no answer yet");
}

void RequestFlow::RetryAndCancel(std::string_view what,
                                 std::string_view reason) {
  earlier_may_have_run_ = true;
  if (TryRetry(what, reason)) {
    old_attempts_.back()->Cancel();
  }
}

}  // namespace gentianroute::gateway
