#ifndef GENTIANROUTE_ENTRY_PROBLEM_H_
#define GENTIANROUTE_ENTRY_PROBLEM_H_

#include <string_view>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/problem.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief Builds the complete response to an error, with the Retry-After header
/// if the error kind has one.
/// @param request_id omitted from the headers and the body if empty
/// @param key_checked see ProblemBody()
HttpResponse ProblemResponse(ErrorKind kind,
                             std::string_view detail,
                             std::string_view request_id,
                             bool key_checked = true);

/// @brief Builds the response to a request that the HTTP library rejected with
/// `status` before passing it on.
HttpResponse ProblemForStatus(int status);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PROBLEM_H_
