#include "gentianroute/decision/poll_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

std::uint64_t WeightOf(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

PollSchedule::PollSchedule(Options options) : options_(std::move(options)) {}

void PollSchedule::SetPeers(std::span<const std::string> names) {
  const std::uint64_t own = WeightOf(options_.name);
  const auto ahead = std::ranges::count_if(names, [&](const std::string& name) {
    return name != options_.name && WeightOf(name) > own;
  });
  poller_ = static_cast<std::size_t>(ahead) < options_.pollers;
}

bool PollSchedule::Due(TimePoint now) {
  if (poller_) {
    return true;
  }
  const Duration silence = options_.silent_periods * options_.period;
  if (Age(now) < silence || now < next_own_) {
    return false;
  }
  // Spread by the name: when the store is out everybody hears nothing, and all
  // polls at once would meet it as it comes back.
  const auto spread = static_cast<Duration::rep>(
      WeightOf(options_.name) % static_cast<std::uint64_t>(silence.count()));
  next_own_ = now + silence + Duration(spread);
  return true;
}

void PollSchedule::OnPolled(TimePoint now, bool answered) {
  if (answered) {
    read_at_ = now;
    ever_read_ = true;
  }
}

void PollSchedule::OnHeard(TimePoint now, Duration age) {
  if (!ever_read_ || now - age > read_at_) {
    read_at_ = now - age;
    ever_read_ = true;
  }
}

Duration PollSchedule::Age(TimePoint now) const {
  return ever_read_ ? now - read_at_ : Duration::max();
}

}  // namespace gentianroute
