#ifndef GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_
#define GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "gentianroute/base/time.h"

/// Constants shared by the source files of RequestFlow.
namespace gentianroute::gateway::detail {

/// Assumed time from the end of the stages to the first byte of the answer,
/// when nothing is known of the server: a round trip to another region, and the
/// first tokens.
inline constexpr Duration kTypicalAnswerTime = std::chrono::milliseconds(150);
/// Lower bound on the answer time of any server.
inline constexpr Duration kMinAnswerTime = std::chrono::milliseconds(20);
/// A request waits for a server with a backoff that ends within this time.
inline constexpr Duration kMaxBackoffWait = std::chrono::milliseconds(250);
/// The same for the rest of a stream whose caller has received a part.
inline constexpr Duration kMaxBackoffWaitInStream = std::chrono::seconds(1);
/// Number of times that a request's lost stage results are computed again
/// before it fails.
inline constexpr std::uint32_t kMaxRecomputations = 2;

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_
