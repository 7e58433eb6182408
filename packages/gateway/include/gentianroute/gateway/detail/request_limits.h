#ifndef GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_
#define GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "gentianroute/base/time.h"

/// Figures that several parts of a request's way go by.
namespace gentianroute::gateway::detail {

/// What the server of a request takes beyond the stages, when nothing is known
/// of it: one way to another region and back, and the first tokens.
inline constexpr Duration kTypicalAnswerTime = std::chrono::milliseconds(150);
/// No server answers sooner.
inline constexpr Duration kMinAnswerTime = std::chrono::milliseconds(20);
/// Results that are lost again and again are not made for ever.
inline constexpr std::uint32_t kMaxRecomputations = 2;

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_REQUEST_LIMITS_H_
