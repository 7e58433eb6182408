#ifndef GENTIANROUTE_DECISION_REQUEST_H_
#define GENTIANROUTE_DECISION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/decision/action.h"
#include "gentianroute/decision/attempt.h"

namespace gentianroute {

/// @brief A request as the caller sent it, checked and with its digests.
struct Submission {
  std::string service;
  std::string organisation;
  std::string subscriber;
  double weight = 1;
  std::string key;          ///< Idempotency-Key; empty: none
  std::string body;         ///< valid JSON
  std::string body_digest;  ///< equal for equal bodies
  Fingerprint fingerprint;
  std::uint64_t prefix = 0;  ///< hash of the prompt's prefix
  Duration timeout{0};       ///< zero: the profile's deadline
  bool wants_stream = false;
  std::string trace_parent;
};

/// @brief Where a request stands.
enum class RequestPhase : std::uint8_t {
  kClaiming,  ///< waits for the store to confirm its key
  kJoining,   ///< the key is another request's; waits for that one's outcome
  kQueued,    ///< waits for a server of its stage's pool
  kRunning,   ///< at least one call is in flight
};

/// @brief One request in progress.
struct Request {
  RequestId id;
  Submission submission;
  ProfileRef profile;
  RequestPhase phase = RequestPhase::kQueued;
  TimePoint arrived{};
  TimePoint deadline{};
  UnixMicros arrived_wall = 0;
  std::string claim_token;           ///< empty: no claim
  bool claim_confirmed = false;      ///< the store confirmed the token
  bool key_row_read = false;         ///< the store told of the key's row
  std::string holder_token;          ///< whose key it is, while joining
  std::uint64_t holder_version = 0;  ///< of the row as read
  bool caller_gone = false;

  std::size_t stage_index = 0;
  TimePoint queued_at{};
  TimePoint
      isolation_deadline{};  ///< how long it may wait to keep crashes apart
  bool isolation_timer_armed = false;    ///< a timer of that is armed
  std::vector<AttemptId> attempts;       ///< in flight, of this stage
  std::vector<ServerRef> tried_servers;  ///< by this stage
  std::uint32_t attempts_made = 0;       ///< by this stage
  std::uint32_t attempts_exempted = 0;   ///< of them, ended by another's crash
  std::uint32_t connect_failures = 0;    ///< by this stage
  bool stage_maybe_run = false;          ///< a call of it may have run
  std::uint64_t offset = 0;  ///< tokens received of this stage's stream
  std::string streamed;      ///< their text
  TimePoint first_token_at{};

  std::uint32_t calls_maybe_run = 0;  ///< calls that some server may have seen
  std::uint32_t effects_maybe_run = 0;  ///< of them, of a stage with an effect
  std::vector<std::string> results;
  std::vector<StageReport> reports;

  bool MayHaveRun() const { return calls_maybe_run > 0; }
  bool EffectMayHaveRun() const { return effects_maybe_run > 0; }
  /// @brief Whether no earlier arrival of its key can be hidden from it.
  bool KeyChecked() const {
    const bool has_effect = profile == nullptr || profile->HasEffect();
    return submission.key.empty() || !has_effect || key_row_read;
  }
  const StageSpec& stage() const { return profile->stages[stage_index]; }
  bool OnLastStage() const { return stage_index + 1 == profile->stages.size(); }
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_REQUEST_H_
