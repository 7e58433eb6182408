#ifndef GENTIANROUTE_BASE_ERROR_KIND_H_
#define GENTIANROUTE_BASE_ERROR_KIND_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief What is known of a request's work when it ends in an error.
enum class ExecutionState : std::uint8_t {
  kNotRun,   ///< no byte of any stage call was written; safe to send again
  kRun,      ///< stages ran, but none with an effect that must not repeat
  kUnknown,  ///< an effect may have taken place; look before sending again
};

/// @brief The closed list of errors. Numbers are stable: add, never renumber.
enum class ErrorKind : std::uint16_t {
  // The caller's mistakes: 1xx.
  kMalformedRequest = 101,
  kUnauthorised = 102,
  kUnknownService = 103,
  kBodyTooLarge = 104,
  kHeadersTooLarge = 105,
  kKeyConflict = 106,
  kMethodNotAllowed = 108,
  // Refused before anything ran: 2xx.
  kOverloaded = 201,
  kDeadlineTooShort = 202,
  kStoreUnavailable = 203,
  kShuttingDown = 204,
  kQuarantined = 205,
  kNoServer = 206,
  kNotReady = 207,
  kTooManyConnections = 208,
  kDeadlineBeforeStart = 209,
  // Given up after something ran: 3xx.
  kStageFailed = 301,
  kDeadlineExceeded = 302,
  kOutcomeUnknown = 303,
  kStreamBroken = 304,
  // Platform and operators: 4xx.
  kRevisionConflict = 401,
  kInvalidSettings = 402,
  kPlatformUnreachable = 403,
  // Faults of the daemon itself: 9xx.
  kInternal = 901,
};

/// @brief How one kind is answered.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  ///< `kind` of the problem+json body
  int http_status;
  ExecutionState work;
  Duration retry_after;      ///< zero: no Retry-After header
  std::string_view title;    ///< one sentence for a person
  std::string_view example;  ///< an example of `detail`
};

/// @brief The answer to one kind.
/// @return the row of the table; every kind has one
/// @complexity linear in the number of kinds
ErrorAnswer AnswerFor(ErrorKind kind);

/// @brief All kinds, in the order of their numbers.
std::span<const ErrorAnswer> AllErrorAnswers();

/// @brief The kind with a given number, as peers send it.
std::optional<ErrorKind> ErrorKindFromNumber(std::uint16_t number);

/// @brief The word that stands in problem+json and logs.
/// @return `not_run`, `run` or `unknown`
std::string_view ExecutionStateName(ExecutionState work);

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_ERROR_KIND_H_
