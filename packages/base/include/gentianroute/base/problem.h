#ifndef GENTIANROUTE_BASE_PROBLEM_H_
#define GENTIANROUTE_BASE_PROBLEM_H_

#include <string>
#include <string_view>

#include "gentianroute/base/error_kind.h"

namespace gentianroute {

/// @brief The problem+json body of an error.
/// @param key_checked false: an earlier arrival of its key may have run
std::string ProblemBody(ErrorKind kind,
                        std::string_view detail,
                        std::string_view request_id,
                        bool key_checked = true);

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_PROBLEM_H_
