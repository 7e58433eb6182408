#ifndef GENTIANROUTE_DECISION_CLAIM_H_
#define GENTIANROUTE_DECISION_CLAIM_H_

#include <cstdint>
#include <string>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"

namespace gentianroute {

enum class ClaimState : std::uint8_t {
  kClaimed,   ///< its claimer may have called, or may still call
  kAnswered,  ///< the outcome is in the row
  kNotRun,    ///< given back: nothing ran, the key may be claimed again
};

/// @brief The row that makes an idempotency key belong to one request.
struct Claim {
  std::string organisation;
  std::string key;
  std::string body_digest;
  std::string token;  ///< unique to one request of one daemon incarnation
  std::string daemon;
  std::uint64_t incarnation = 0;
  ClaimState state = ClaimState::kClaimed;
  std::uint16_t status = 0;
  std::string answer;
  UnixMicros written_at = 0;
};

/// @brief What a claim attempt ended in.
enum class ClaimOutcome : std::uint8_t {
  kConfirmed,    ///< the store confirmed this request's own token
  kTaken,        ///< the key is another request's; `holder` tells whose
  kUnavailable,  ///< not confirmed; this request's token is abandoned for good
};

struct ClaimResult {
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  std::string token;                 ///< of the request that asked
  Claim holder;                      ///< with kTaken
  std::uint64_t holder_version = 0;  ///< with kTaken: version of its row
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CLAIM_H_
