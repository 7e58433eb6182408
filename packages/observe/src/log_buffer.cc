#include "gentianroute/observe/log_buffer.h"

#include <array>
#include <utility>

namespace gentianroute {
namespace {

/// Fill levels, as shares of the buffer, up to which lines of one priority are
/// kept.
struct FillLimits {
  double all;      ///< for all requests
  double sampled;  ///< for sampled requests
};
/// Indexed by LogPriority. The end of a request is kept at higher fill levels
/// than its steps, because it names the outcome, and failures at higher ones
/// than successes.
constexpr std::array<FillLimits, 3> kFillLimits = {
    {{0.5, 0.8}, {0.7, 0.9}, {1.0, 1.0}}};
/// One in this many requests is sampled.
constexpr std::uint64_t kSampleEvery = 8;

}  // namespace

bool LogBuffer::IsKept(const LogLine& line) const {
  const FillLimits& limits =
      kFillLimits[static_cast<std::size_t>(line.priority)];
  const bool sampled = line.request_hash % kSampleEvery == 0;
  const double share = sampled ? limits.sampled : limits.all;
  const double limit = share * static_cast<double>(max_bytes_);
  return static_cast<double>(pending_.size() + line.text.size() + 1) <= limit;
}

void LogBuffer::Add(const LogLine& line) {
  if (!IsKept(line)) {
    ++dropped_;
    return;
  }
  pending_ += line.text;
  pending_ += '\n';
}

std::uint64_t LogBuffer::TakeDropped() {
  return dropped_ - std::exchange(dropped_reported_, dropped_);
}

}  // namespace gentianroute
