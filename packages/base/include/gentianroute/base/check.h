#ifndef GENTIANROUTE_BASE_CHECK_H_
#define GENTIANROUTE_BASE_CHECK_H_

#include <string_view>

namespace gentianroute::detail {

/// @brief Logs the failed invariant and aborts the process.
[[noreturn]] void InvariantBroken(std::string_view expression,
                                  std::string_view file,
                                  int line);

}  // namespace gentianroute::detail

/// Checks an invariant in all build types and aborts if it is false. Continuing
/// with a broken invariant could execute a request's effect twice; after a
/// crash, claims and callers' retries recover the requests in flight.
#define GR_INVARIANT(expression)                                     \
  do {                                                               \
    if (!(expression)) {                                             \
      ::gentianroute::detail::InvariantBroken(#expression, __FILE__, \
                                              __LINE__);             \
    }                                                                \
  } while (false)

#endif  // GENTIANROUTE_BASE_CHECK_H_
