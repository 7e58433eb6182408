#include "gentianroute/admission/wait_forecast.h"

#include <algorithm>

namespace gentianroute::admission {
namespace {

/// Time from the call that makes a result to its release, if nothing is known.
constexpr double kTypicalHoldSeconds = 1.0;
/// Rate of work that does not move at all.
constexpr double kMinRate = 1e-6;

Duration TimeAt(double rate, double amount) {
  const double seconds = amount / std::max(kMinRate, rate);
  return seconds < Seconds(WaitForecast::kNever) ? FromSeconds(seconds)
                                                 : WaitForecast::kNever;
}

/// The time of the scarcer resource, if some work needs both.
Duration LongerTime(const ResourceTime& time, const ResourceNeed& own) {
  return own.storage_bytes > 0 ? std::max(time.servers, time.storage)
                               : time.servers;
}

}  // namespace

ResourceTime FullCallsForecast::TimeFor(TimePoint /*now*/,
                                        const ResourceNeed& work,
                                        const ServerGroup& group) const {
  return {work.server_time / static_cast<std::int64_t>(group.servers), {}};
}

Duration FullCallsForecast::WaitBehind(TimePoint now,
                                       const QueuedWork& ahead,
                                       const ResourceNeed& /*own*/,
                                       bool /*is_on_time*/,
                                       const ServerGroup& group) const {
  return TimeFor(now, ahead.All(), group).servers;
}

void LearnedForecast::Rates::OnDispatch(TimePoint now,
                                        const ResourceNeed& taken,
                                        const ResourceNeed& left) {
  server_time.OnTaken(now, Seconds(taken.server_time),
                      left.server_time.count() > 0);
  storage.OnTaken(now, taken.storage_bytes, left.storage_bytes > 0);
}

ResourceTime LearnedForecast::Rates::TimeFor(TimePoint now,
                                             const ResourceNeed& work,
                                             const ServerGroup& group) const {
  ResourceTime time;
  const double servers = static_cast<double>(group.servers);
  time.servers =
      TimeAt(server_time.PerSecond(now, servers), Seconds(work.server_time));
  if (work.storage_bytes > 0 && storage.HasObserved(now)) {
    const double expected = group.storage_bytes / kTypicalHoldSeconds;
    time.storage = TimeAt(storage.PerSecond(now, expected), work.storage_bytes);
  }
  return time;
}

void LearnedForecast::OnDispatch(TimePoint now,
                                 const QueuedWork& taken,
                                 const QueuedWork& left) {
  all_.OnDispatch(now, taken.All(), left.All());
  yielding_.OnDispatch(now, taken.yielding, left.yielding);
}

ResourceTime LearnedForecast::TimeFor(TimePoint now,
                                      const ResourceNeed& work,
                                      const ServerGroup& group) const {
  return all_.TimeFor(now, work, group);
}

Duration LearnedForecast::WaitBehind(TimePoint now,
                                     const QueuedWork& ahead,
                                     const ResourceNeed& own,
                                     bool is_on_time,
                                     const ServerGroup& group) const {
  if (is_on_time) {
    return LongerTime(all_.TimeFor(now, ahead.All(), group), own);
  }
  const Duration behind_on_time =
      LongerTime(all_.TimeFor(now, ahead.on_time, group), own);
  const Duration behind_yielding =
      LongerTime(yielding_.TimeFor(now, ahead.yielding + own, group), own);
  return std::min(kNever, behind_on_time + behind_yielding);
}

}  // namespace gentianroute::admission
