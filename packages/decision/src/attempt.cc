#include "gentianroute/decision/attempt.h"

#include <array>

namespace gentianroute {
namespace {

// failure, name, may_have_run, counts_against_server, retryable,
// invalidates_connections
constexpr auto kFailureTraits = std::to_array<FailureTraits>({
    {AttemptFailure::kConnect, "connect", false, true, true, false},
    {AttemptFailure::kRefused, "refused", false, false, true, false},
    {AttemptFailure::kLeaving, "leaving", false, false, true, false},
    {AttemptFailure::kServerError, "server_error", true, true, true, false},
    {AttemptFailure::kRejected, "rejected", true, false, false, false},
    {AttemptFailure::kTimeout, "timeout", true, true, true, true},
    {AttemptFailure::kReset, "reset", true, true, true, false},
    {AttemptFailure::kTruncated, "truncated", true, true, true, false},
    {AttemptFailure::kCrossed, "crossed", true, true, true, true},
    {AttemptFailure::kGap, "gap", true, true, true, false},
});

constexpr bool InOrder() {
  for (std::size_t i = 0; i < kFailureTraits.size(); ++i) {
    if (static_cast<std::size_t>(kFailureTraits[i].failure) != i) {
      return false;
    }
  }
  return true;
}
static_assert(InOrder(), "the table is indexed by the failure");

}  // namespace

const FailureTraits& TraitsOf(AttemptFailure failure) {
  return kFailureTraits[static_cast<std::size_t>(failure)];
}

}  // namespace gentianroute
