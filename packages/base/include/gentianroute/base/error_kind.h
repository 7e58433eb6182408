#ifndef GENTIANROUTE_BASE_ERROR_KIND_H_
#define GENTIANROUTE_BASE_ERROR_KIND_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Whether the stages of a failed request have run.
enum class ExecutionState : std::uint8_t {
  kNotRun,   ///< no byte of any stage call was written; safe to retry
  kRun,      ///< stages ran, but none that is unsafe to repeat
  kUnknown,  ///< a non-repeatable stage may have run; check before a retry
};

/// @brief All errors. The numbers are part of the API and must not change.
enum class ErrorKind : std::uint16_t {
  // 1xx: errors in the caller's request.
  kMalformedRequest = 101,
  kUnauthorised = 102,
  kUnknownService = 103,
  kBodyTooLarge = 104,
  kHeadersTooLarge = 105,
  kKeyConflict = 106,
  kMethodNotAllowed = 108,
  // 2xx: rejected before any stage ran.
  kOverloaded = 201,
  kDeadlineTooShort = 202,
  kStoreUnavailable = 203,
  kShuttingDown = 204,
  kQuarantined = 205,
  kNoServer = 206,
  kNotReady = 207,
  kTooManyConnections = 208,
  kDeadlineBeforeStart = 209,
  kNoPermittedRegion = 210,
  // 3xx: failed after a stage ran.
  kStageFailed = 301,
  kDeadlineExceeded = 302,
  kOutcomeUnknown = 303,
  kStreamBroken = 304,
  // 4xx: errors of the platform and of operators' requests.
  kRevisionConflict = 401,
  kInvalidSettings = 402,
  kPlatformUnreachable = 403,
  // 9xx: internal errors of the daemon.
  kInternal = 901,
};

/// @brief The response to an error of one kind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  ///< value of `kind` in the problem+json body
  int http_status;
  ExecutionState work;
  Duration retry_after;      ///< Retry-After header; zero: header is omitted
  std::string_view title;    ///< value of `title` in the problem+json body
  std::string_view example;  ///< example of `detail`, for the documentation
};

/// @brief Returns the response to an error kind; every kind has one.
/// @complexity linear in the number of kinds
ErrorAnswer AnswerFor(ErrorKind kind);

/// @brief Returns the responses to all kinds, sorted by number.
std::span<const ErrorAnswer> AllErrorAnswers();

/// @brief Converts a number received from a peer to an error kind.
/// @return no value if no kind has this number
std::optional<ErrorKind> ErrorKindFromNumber(std::uint16_t number);

/// @brief Returns the name used in problem+json and in logs.
/// @return `not_run`, `run` or `unknown`
std::string_view ExecutionStateName(ExecutionState work);

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_ERROR_KIND_H_
