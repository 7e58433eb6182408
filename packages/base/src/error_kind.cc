#include "gentianroute/base/error_kind.h"

#include <algorithm>
#include <array>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNoRetryAfter{0};
constexpr Duration kShortRetryAfter = seconds(1);
constexpr Duration kLongRetryAfter = seconds(5);

constexpr auto kErrorAnswers = std::to_array<ErrorAnswer>({
    {ErrorKind::kMalformedRequest, "malformed_request", 400,
     ExecutionState::kNotRun, kNoRetryAfter, "The request can't be read.",
     "the body is not JSON: unexpected end of input at byte 17"},
    {ErrorKind::kUnauthorised, "unauthorised", 401, ExecutionState::kNotRun,
     kNoRetryAfter, "No organisation has this key.",
     "the bearer key is not known"},
    {ErrorKind::kUnknownService, "unknown_service", 404,
     ExecutionState::kNotRun, kNoRetryAfter, "No service has this name.",
     "no service 'drafts'"},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, ExecutionState::kNotRun,
     kNoRetryAfter, "The body is larger than this daemon takes.",
     "the body has more than 1048576 bytes"},
    {ErrorKind::kHeadersTooLarge, "headers_too_large", 431,
     ExecutionState::kNotRun, kNoRetryAfter,
     "The headers are larger than this daemon takes.",
     "the headers have more than 16384 bytes"},
    {ErrorKind::kKeyConflict, "key_conflict", 409, ExecutionState::kNotRun,
     kNoRetryAfter, "The idempotency key was used with another body.",
     "key 'order-17' was first seen with another body"},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405,
     ExecutionState::kNotRun, kNoRetryAfter,
     "The path does not take this method.",
     "GET on /v1/services/drafts; POST is allowed"},
    {ErrorKind::kOverloaded, "overloaded", 503, ExecutionState::kNotRun,
     kShortRetryAfter, "More work waits than can be done in time.",
     "2048 requests wait for pool 'llm'"},
    {ErrorKind::kDeadlineTooShort, "deadline_too_short", 503,
     ExecutionState::kNotRun, kShortRetryAfter,
     "The deadline can't be met now.", "4 stages need 380 ms, 200 ms are left"},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503,
     ExecutionState::kNotRun, kLongRetryAfter,
     "The claim on the idempotency key can't be recorded now.",
     "the table service did not confirm the claim"},
    {ErrorKind::kShuttingDown, "shutting_down", 503, ExecutionState::kNotRun,
     kShortRetryAfter, "This daemon is stopping; another one will answer.",
     "the daemon stopped accepting"},
    {ErrorKind::kQuarantined, "quarantined", 422, ExecutionState::kNotRun,
     kNoRetryAfter,
     "This request crashed backend servers and is not run again.",
     "2 servers crashed while they ran it"},
    {ErrorKind::kNoServer, "no_server", 503, ExecutionState::kNotRun,
     kShortRetryAfter, "No backend server can take a stage of this request.",
     "pool 'llm' has no live server"},
    {ErrorKind::kNotReady, "not_ready", 503, ExecutionState::kNotRun,
     kShortRetryAfter, "This daemon does not know the configuration yet.",
     "neither the platform nor a peer has answered"},
    {ErrorKind::kTooManyConnections, "too_many_connections", 503,
     ExecutionState::kNotRun, kShortRetryAfter,
     "This daemon has as many connections as it takes.",
     "4096 connections are open"},
    {ErrorKind::kDeadlineBeforeStart, "deadline_before_start", 503,
     ExecutionState::kNotRun, kShortRetryAfter,
     "The deadline passed before any stage began.",
     "waited 6000 ms for pool 'llm'"},
    {ErrorKind::kNoPermittedRegion, "no_permitted_region", 503,
     ExecutionState::kNotRun, kLongRetryAfter,
     "The service and the organisation have no permitted region in common.",
     "service 'drafts' permits 'north', organisation 'family' 'south'"},
    {ErrorKind::kStageFailed, "stage_failed", 502, ExecutionState::kRun,
     kShortRetryAfter, "A stage failed; no effect took place.",
     "stage 'rerank' failed 3 times, last: status 500"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     ExecutionState::kRun, kShortRetryAfter,
     "The deadline passed; no effect took place.",
     "stage 'generate' was running for 2100 ms"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 504,
     ExecutionState::kUnknown, kNoRetryAfter,
     "The effect may or may not have taken place.",
     "stage 'order' was sent and not answered"},
    {ErrorKind::kStreamBroken, "stream_broken", 502, ExecutionState::kRun,
     kShortRetryAfter, "The answer's stream broke and could not be resumed.",
     "the stream ended at token 812 and no engine took it over"},
    {ErrorKind::kRevisionConflict, "revision_conflict", 409,
     ExecutionState::kNotRun, kNoRetryAfter,
     "Another operator changed the same document.",
     "profile 'drafts' is at revision 12, the change was based on 11"},
    {ErrorKind::kInvalidSettings, "invalid_settings", 422,
     ExecutionState::kNotRun, kNoRetryAfter,
     "The settings or profiles have an error.",
     "profiles[0].stages[1].pool: 'lm' names no pool"},
    {ErrorKind::kPlatformUnreachable, "platform_unreachable", 503,
     ExecutionState::kUnknown, kLongRetryAfter, "The platform did not answer.",
     "POST /v1/transact: no answer in 1000 ms"},
    {ErrorKind::kInternal, "internal", 500, ExecutionState::kUnknown,
     kNoRetryAfter, "The daemon made a mistake.",
     "see the log line with this request id"},
});

static_assert(std::ranges::is_sorted(kErrorAnswers, {}, &ErrorAnswer::kind),
              "entries must be sorted by number");
static_assert(std::ranges::adjacent_find(kErrorAnswers,
                                         {},
                                         &ErrorAnswer::kind) ==
                  kErrorAnswers.end(),
              "each kind must have exactly one entry");

constexpr auto kExecutionStateNames =
    std::to_array<std::string_view>({"not_run", "run", "unknown"});

}  // namespace

ErrorAnswer AnswerFor(ErrorKind kind) {
  const auto row = std::ranges::find(kErrorAnswers, kind, &ErrorAnswer::kind);
  GR_INVARIANT(row != kErrorAnswers.end());
  return *row;
}

std::span<const ErrorAnswer> AllErrorAnswers() {
  return kErrorAnswers;
}

std::optional<ErrorKind> ErrorKindFromNumber(std::uint16_t number) {
  const auto kind = static_cast<ErrorKind>(number);
  const auto row = std::ranges::find(kErrorAnswers, kind, &ErrorAnswer::kind);
  if (row == kErrorAnswers.end()) {
    return std::nullopt;
  }
  return kind;
}

std::string_view ExecutionStateName(ExecutionState work) {
  return kExecutionStateNames[static_cast<std::size_t>(work)];
}

}  // namespace gentianroute
