#include "gentianroute/base/error_kind.h"

#include <criterion/criterion.h>

using gentianroute::AllErrorAnswers;
using gentianroute::AnswerFor;
using gentianroute::ErrorKind;
using gentianroute::ErrorKindFromNumber;
using gentianroute::ExecutionState;

Test(error_kind, number_of_every_kind_round_trips) {
  for (const auto& row : AllErrorAnswers()) {
    const auto number = static_cast<std::uint16_t>(row.kind);
    cr_assert(ErrorKindFromNumber(number) == row.kind);
    cr_assert(AnswerFor(row.kind).name == row.name);
  }
}

Test(error_kind, unlisted_number_is_no_kind) {
  cr_assert(!ErrorKindFromNumber(999).has_value());
}

// Callers retry on 503. A retry is safe only if no stage has run, so each 503
// response to a caller must report not_run and have a Retry-After header.
Test(error_kind, service_unavailable_reports_not_run_and_retry_after) {
  for (const auto& row : AllErrorAnswers()) {
    if (row.http_status != 503 || row.kind == ErrorKind::kPlatformUnreachable) {
      continue;
    }
    cr_assert(row.work == ExecutionState::kNotRun);
    cr_assert(row.retry_after.count() > 0);
  }
}
