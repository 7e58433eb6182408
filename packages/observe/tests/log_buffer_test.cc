#include "gentianroute/observe/log_buffer.h"

#include <criterion/criterion.h>

#include <string>

using namespace gentianroute;

namespace {

constexpr std::size_t kMaxBytes = 1000;
constexpr std::uint64_t kSampled = 0;
constexpr std::uint64_t kNotSampled = 1;

/// A buffer that can be filled to a given share.
struct BufferFixture {
  LogBuffer buffer{kMaxBytes};

  void FillTo(double share) {
    const std::string text(static_cast<std::size_t>(share * kMaxBytes) - 1,
                           'x');
    buffer.Add({text, LogPriority::kHigh, kSampled});
  }
  bool IsKept(LogPriority priority, std::uint64_t request_hash) {
    const std::uint64_t before = buffer.dropped();
    buffer.Add({"line", priority, request_hash});
    return buffer.dropped() == before;
  }
};

}  // namespace

Test(log_buffer, all_lines_are_kept_while_nearly_empty) {
  BufferFixture fixture;
  cr_assert(fixture.IsKept(LogPriority::kLow, kNotSampled));
  cr_assert(fixture.IsKept(LogPriority::kNormal, kNotSampled));
  cr_assert(fixture.buffer.pending() == "line\nline\n");
}

// While lines come faster than they are read, the log of a sampled request must
// stay complete.
Test(log_buffer, sampled_requests_stay_complete_while_filling_up) {
  BufferFixture fixture;
  fixture.FillTo(0.75);
  cr_assert(fixture.IsKept(LogPriority::kLow, kSampled));
  cr_assert(fixture.IsKept(LogPriority::kNormal, kSampled));
  cr_assert_not(fixture.IsKept(LogPriority::kLow, kNotSampled));
  cr_assert_not(fixture.IsKept(LogPriority::kNormal, kNotSampled));
}

Test(log_buffer, failures_are_kept_before_successes) {
  BufferFixture fixture;
  fixture.FillTo(0.95);
  cr_assert_not(fixture.IsKept(LogPriority::kNormal, kSampled));
  cr_assert(fixture.IsKept(LogPriority::kHigh, kNotSampled));
}

Test(log_buffer, size_never_exceeds_the_maximum) {
  BufferFixture fixture;
  fixture.FillTo(1.0);
  cr_assert_not(fixture.IsKept(LogPriority::kHigh, kSampled));
  cr_assert_eq(fixture.buffer.pending().size(), kMaxBytes);
}

Test(log_buffer, dropped_lines_are_reported_once) {
  BufferFixture fixture;
  fixture.FillTo(1.0);
  fixture.IsKept(LogPriority::kHigh, kSampled);
  cr_assert_eq(fixture.buffer.TakeDropped(), 1);
  cr_assert_eq(fixture.buffer.TakeDropped(), 0);
  cr_assert_eq(fixture.buffer.dropped(), 1);
}
