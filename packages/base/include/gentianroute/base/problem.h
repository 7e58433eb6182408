#ifndef GENTIANROUTE_BASE_PROBLEM_H_
#define GENTIANROUTE_BASE_PROBLEM_H_

#include <string>
#include <string_view>

#include "gentianroute/base/error_kind.h"

namespace gentianroute {

/// @brief Builds the problem+json body (RFC 9457) of an error response.
/// @param detail explanation of this occurrence, for a person
/// @param request_id omitted from the body if empty
/// @param key_checked false if the idempotency key could not be looked up, so
/// that an earlier request with the same key may have run
std::string ProblemBody(ErrorKind kind,
                        std::string_view detail,
                        std::string_view request_id,
                        bool key_checked = true);

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_PROBLEM_H_
