#include <algorithm>
#include <random>
#include <utility>

#include "gentianroute/base/error_kind.h"
#include "load_model_internal.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCallerLatency = milliseconds(3);
constexpr Duration kResendDelay = milliseconds(300);

}  // namespace

double LoadModel::CurrentRateFactor() const {
  // Cycles of five seconds: four at half the rate, one at three times the
  // rate, so that the mean factor is 1.
  if (!plan_.has_bursts) {
    return 1;
  }
  return static_cast<std::int64_t>(Seconds(now_ - TimePoint{})) % 5 == 4 ? 3
                                                                         : 0.5;
}

void LoadModel::ScheduleArrival(std::size_t index) {
  const double rate =
      plan_.traffic[index].requests_per_second * CurrentRateFactor();
  const double wait = std::exponential_distribution<double>(rate)(rng_);
  // Resamples at least every 0.1 s, so that a rate change takes effect on time.
  const double delay = std::min(wait, 0.1);
  const TimePoint due = now_ + Duration(static_cast<std::int64_t>(delay * 1e6));
  if (due >= TimePoint{} + plan_.duration) {
    return;
  }
  Schedule(due, [this, index, arrives = wait <= 0.1] {
    if (arrives) {
      const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
      const std::size_t any = rng_() % daemons_.size();
      const std::size_t chosen = draw < plan_.first_daemon_share ? 0 : any;
      Daemon& daemon =
          *daemons_[plan_.traffic[index].daemon_index.value_or(chosen)];
      Submit(daemon, plan_.traffic[index], now_, plan_.caller_resends);
    }
    ScheduleArrival(index);
  });
}

void LoadModel::Submit(Daemon& daemon,
                       const Traffic& traffic,
                       TimePoint first_sent,
                       std::uint32_t resends_left) {
  const Duration time_left =
      first_sent + plan_.profile.deadline - now_ - 2 * kCallerLatency;
  Submission submission;
  submission.service = "service";
  submission.organisation = traffic.organisation;
  submission.subscriber = traffic.subscriber;
  submission.body =
      "{\"letter\":\"" + std::string(plan_.body_bytes, 'a') + "\"}";
  submission.fingerprint = Fingerprint{rng_()};
  if (plan_.prefix_count > 0) {
    // Squaring the draw makes a few prefixes much more frequent than the
    // others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
    submission.prefix =
        1 + static_cast<std::uint64_t>(draw * draw *
                                       static_cast<double>(plan_.prefix_count));
  }
  submission.timeout = std::max(time_left, Duration(1));
  const RequestId id =
      daemon.coordinator.Submit(now_, 0, std::move(submission));
  daemon.pending_requests[id] = {traffic, first_sent, resends_left};
  ExecuteActions(daemon);
}

void LoadModel::Execute(Daemon& daemon, FinishRequest& finish) {
  const auto found = daemon.pending_requests.find(finish.request);
  if (found == daemon.pending_requests.end()) {
    // Submit finished the request synchronously and has not recorded it yet.
    Schedule(now_,
             [this, &daemon, finish]() mutable { Execute(daemon, finish); });
    return;
  }
  const PendingRequest pending = found->second;
  daemon.pending_requests.erase(found);
  const Duration latency = now_ - pending.first_sent + 2 * kCallerLatency;
  const bool in_time =
      !finish.error.has_value() && latency <= plan_.profile.deadline;
  if (finish.error.has_value() && pending.resends_left > 0) {
    Schedule(now_ + kResendDelay, [this, &daemon, pending] {
      Submit(daemon, pending.traffic, pending.first_sent,
             pending.resends_left - 1);
    });
    return;
  }
  if (pending.first_sent < TimePoint{} + plan_.warm_up) {
    return;
  }
  const bool refused = finish.error.has_value() &&
                       AnswerFor(*finish.error).work == ExecutionState::kNotRun;
  const auto second =
      static_cast<std::size_t>(Seconds(pending.first_sent - TimePoint{}));
  const std::string subscriber =
      pending.traffic.organisation + "/" + pending.traffic.subscriber;
  for (RequestCounts* counts :
       {&outcome_.all, &outcome_.organisations[pending.traffic.organisation],
        &outcome_.subscribers[subscriber], &outcome_.seconds.at(second)}) {
    ++counts->sent;
    counts->in_time += in_time ? 1 : 0;
    counts->refused += refused ? 1 : 0;
  }
  if (!finish.error.has_value()) {
    outcome_.latency_ms.push_back(Milliseconds(latency));
    outcome_.first_token_ms.push_back(Milliseconds(finish.first_token));
  }
}

}  // namespace gentianroute::bench
