#include <algorithm>
#include <random>
#include <utility>

#include "gentianroute/base/error_kind.h"
#include "load_parts.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;

constexpr Duration kToCallers = milliseconds(3);
constexpr Duration kResendAfter = milliseconds(300);

}  // namespace

double LoadModel::RateNow() const {
  // Mean one: four seconds at a half, then one at three times the rate.
  if (!plan_.bursts) {
    return 1;
  }
  return static_cast<std::int64_t>(Seconds(now_ - TimePoint{})) % 5 == 4 ? 3
                                                                         : 0.5;
}

void LoadModel::ScheduleArrival(std::size_t index) {
  const double rate = plan_.traffic[index].per_second * RateNow();
  const double wait = std::exponential_distribution<double>(rate)(rng_);
  // No longer than a tenth of a second, so that a burst begins on time.
  const double step = std::min(wait, 0.1);
  const TimePoint due = now_ + Duration(static_cast<std::int64_t>(step * 1e6));
  if (due >= TimePoint{} + plan_.length) {
    return;
  }
  At(due, [this, index, arrives = wait <= 0.1] {
    if (arrives) {
      const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
      const std::size_t any = rng_() % daemons_.size();
      const std::size_t chosen = draw < plan_.at_first ? 0 : any;
      Daemon& daemon = *daemons_[plan_.traffic[index].only_at.value_or(chosen)];
      Submit(daemon, plan_.traffic[index], now_, plan_.caller_resends);
    }
    ScheduleArrival(index);
  });
}

void LoadModel::Submit(Daemon& daemon,
                       const Traffic& traffic,
                       TimePoint first,
                       std::uint32_t resends) {
  const Duration left = first + plan_.profile.deadline - now_ - 2 * kToCallers;
  Submission submission;
  submission.service = "service";
  submission.organisation = traffic.organisation;
  submission.subscriber = traffic.subscriber;
  submission.body =
      "{\"letter\":\"" + std::string(plan_.body_bytes, 'a') + "\"}";
  submission.fingerprint = Fingerprint{rng_()};
  if (plan_.prefixes > 0) {
    // The square makes a few prefixes much more frequent than the others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
    submission.prefix =
        1 + static_cast<std::uint64_t>(draw * draw *
                                       static_cast<double>(plan_.prefixes));
  }
  submission.timeout = std::max(left, Duration(1));
  const RequestId id =
      daemon.coordinator.Submit(now_, 0, std::move(submission));
  daemon.sent[id] = {traffic, first, resends};
  Drain(daemon);
}

void LoadModel::Act(Daemon& daemon, FinishRequest& finish) {
  const auto found = daemon.sent.find(finish.request);
  if (found == daemon.sent.end()) {
    // Finished within Submit: its record follows this call.
    At(now_, [this, &daemon, finish]() mutable { Act(daemon, finish); });
    return;
  }
  const Sent sent = found->second;
  daemon.sent.erase(found);
  const Duration took = now_ - sent.first + 2 * kToCallers;
  const bool in_time =
      !finish.error.has_value() && took <= plan_.profile.deadline;
  if (finish.error.has_value() && sent.resends > 0) {
    At(now_ + kResendAfter, [this, &daemon, sent] {
      Submit(daemon, sent.traffic, sent.first, sent.resends - 1);
    });
    return;
  }
  if (sent.first < TimePoint{} + plan_.warm_up) {
    return;
  }
  const bool refused = finish.error.has_value() &&
                       AnswerFor(*finish.error).work == ExecutionState::kNotRun;
  const auto second =
      static_cast<std::size_t>(Seconds(sent.first - TimePoint{}));
  const std::string subscriber =
      sent.traffic.organisation + "/" + sent.traffic.subscriber;
  for (Tally* tally :
       {&outcome_.all, &outcome_.organisations[sent.traffic.organisation],
        &outcome_.subscribers[subscriber], &outcome_.seconds.at(second)}) {
    ++tally->sent;
    tally->in_time += in_time ? 1 : 0;
    tally->refused += refused ? 1 : 0;
  }
  if (!finish.error.has_value()) {
    outcome_.took_ms.push_back(Milliseconds(took));
    outcome_.first_token_ms.push_back(Milliseconds(finish.first_token));
  }
}

}  // namespace gentianroute::bench
