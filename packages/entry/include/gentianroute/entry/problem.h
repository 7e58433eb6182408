#ifndef GENTIANROUTE_ENTRY_PROBLEM_H_
#define GENTIANROUTE_ENTRY_PROBLEM_H_

#include <string_view>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/problem.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief The whole answer to an error, with Retry-After where the table has
/// one.
HttpResponse ProblemResponse(ErrorKind kind,
                             std::string_view detail,
                             std::string_view request_id,
                             bool key_checked = true);

/// @brief The answer to a request that the HTTP library turned down with a
/// status of its own, before any of it was handed on.
HttpResponse ProblemForStatus(int status);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PROBLEM_H_
