#include "gentianroute/admission/return_time.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace gentianroute;
using gentianroute::admission::ReturnTime;
using std::chrono::milliseconds;

TestSuite(return_time);

Test(return_time, no_caller_returns_before_there_is_room) {
  for (const double position : {0.0, 0.5, 0.999}) {
    cr_assert(ReturnTime(milliseconds(800), position) >= milliseconds(800));
  }
}

// The load: a hundred callers are refused in one moment. Guards against a crowd
// that comes back in one moment and is refused again.
Test(return_time, many_refused_at_once_returns_are_spread) {
  constexpr std::size_t kCallers = 100;
  constexpr std::size_t kMaxInOneSlice = 15;
  constexpr Duration kSlice = milliseconds(100);
  std::array<std::size_t, 30> returns{};
  for (std::size_t i = 0; i < kCallers; ++i) {
    const double position = static_cast<double>(i) / kCallers;
    ++returns.at(static_cast<std::size_t>(
        ReturnTime(milliseconds(1600), position) / kSlice));
  }
  cr_assert_leq(*std::max_element(returns.begin(), returns.end()),
                kMaxInOneSlice);
}
