#include "gentianroute/decision/poll_schedule.h"

#include <functional>
#include <utility>

#include "gentianroute/decision/rendezvous.h"

namespace gentianroute {

PollSchedule::PollSchedule(Options options) : options_(std::move(options)) {}

void PollSchedule::SetPeers(std::span<const std::string> names) {
  is_poller_ = RendezvousRank("", options_.name, names) < options_.pollers;
}

bool PollSchedule::IsPollDue(TimePoint now) {
  if (is_poller_) {
    return true;
  }
  const Duration fallback_delay = options_.fallback_periods * options_.period;
  if (Age(now) < fallback_delay || now < next_fallback_poll_) {
    return false;
  }
  // Jitter derived from the name: during an outage of the table service no
  // daemon learns of a read, and the polls of all would hit the service at once
  // when it recovers.
  const auto jitter = static_cast<Duration::rep>(
      std::hash<std::string>{}(options_.name) %
      static_cast<std::uint64_t>(fallback_delay.count()));
  next_fallback_poll_ = now + fallback_delay + Duration(jitter);
  return true;
}

void PollSchedule::OnPolled(TimePoint now, bool answered) {
  if (answered) {
    read_at_ = now;
    ever_read_ = true;
  }
}

void PollSchedule::OnPeerReadAge(TimePoint now, Duration age) {
  if (!ever_read_ || now - age > read_at_) {
    read_at_ = now - age;
    ever_read_ = true;
  }
}

Duration PollSchedule::Age(TimePoint now) const {
  return ever_read_ ? now - read_at_ : Duration::max();
}

}  // namespace gentianroute
