#ifndef GENTIANROUTE_DECISION_CLAIM_H_
#define GENTIANROUTE_DECISION_CLAIM_H_

#include <cstdint>
#include <string>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"

namespace gentianroute {

enum class ClaimState : std::uint8_t {
  kClaimed,   ///< its holder may have run the request or may still run it
  kAnswered,  ///< the row holds the answer
  kNotRun,    ///< released: nothing ran, the key may be claimed again
};

/// @brief Row of the table service that assigns an idempotency key to one
/// request.
struct Claim {
  std::string organisation;
  std::string key;
  std::string body_digest;
  std::string token;  ///< unique per request and daemon incarnation
  std::string daemon;
  std::uint64_t incarnation = 0;
  ClaimState state = ClaimState::kClaimed;
  std::uint16_t status = 0;
  std::string answer;
  UnixMicros written_at = 0;
};

/// @brief How an attempt to claim a key ended.
enum class ClaimOutcome : std::uint8_t {
  kConfirmed,    ///< the row holds this request's token
  kTaken,        ///< another request holds the key, see `holder`
  kUnavailable,  ///< not confirmed; the token will never be dispatched
};

struct ClaimResult {
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  std::string token;  ///< token of this request
  Claim holder;       ///< empty unless kTaken
  /// Version of the holder's row; 0 unless kTaken.
  std::uint64_t holder_version = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CLAIM_H_
