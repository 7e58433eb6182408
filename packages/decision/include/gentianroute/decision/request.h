#ifndef GENTIANROUTE_DECISION_REQUEST_H_
#define GENTIANROUTE_DECISION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/decision/action.h"
#include "gentianroute/decision/attempt.h"

namespace gentianroute {

/// @brief A validated request of a caller, with its digests.
struct Submission {
  std::string service;
  std::string organisation;
  std::string subscriber;
  double weight = 1;
  std::string key;          ///< Idempotency-Key; empty if none
  std::string body;         ///< valid JSON
  std::string body_digest;  ///< equal for equal bodies
  Fingerprint fingerprint;
  std::uint64_t prefix = 0;  ///< hash of the prompt's prefix
  Duration timeout{0};       ///< zero selects the profile's deadline
  bool wants_stream = false;
  std::string trace_parent;
};

/// @brief Phase of a request in progress.
enum class RequestPhase : std::uint8_t {
  kClaiming,  ///< waits for the table service to confirm its claim
  kJoining,   ///< another request holds the key; waits for its outcome
  kQueued,    ///< waits for a server of the stage's pool
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
  std::string claim_token;       ///< empty if the request has no claim
  bool claim_confirmed = false;  ///< the table service confirmed the token
  bool key_row_read = false;     ///< the claim row of the key was read
  std::string holder_token;      ///< token that holds the key, while joining
  std::uint64_t holder_version = 0;  ///< version of the holder's row as read
  bool caller_gone = false;

  std::size_t stage_index = 0;
  TimePoint queued_at{};
  /// Until then the request may wait for a server without suspects or, if it is
  /// a suspect itself, for an idle server.
  TimePoint isolation_deadline{};
  bool isolation_timer_armed = false;
  std::vector<AttemptId> attempts;       ///< in flight for this stage
  std::vector<ServerRef> tried_servers;  ///< in this stage
  std::uint32_t attempts_made = 0;       ///< in this stage
  /// Attempts that don't count towards the limit, since another request may
  /// have crashed the server.
  std::uint32_t attempts_exempted = 0;
  std::uint32_t connect_failures = 0;  ///< in this stage
  bool stage_maybe_run = false;        ///< a call of this stage may have run
  /// Number of tokens received in this stage's stream.
  std::uint64_t offset = 0;
  std::string streamed;  ///< text of these tokens
  TimePoint first_token_at{};

  std::uint32_t calls_maybe_run = 0;  ///< calls that may have reached a server
  /// Of calls_maybe_run, those of stages with an effect.
  std::uint32_t effects_maybe_run = 0;
  std::vector<std::string> results;
  std::vector<StageReport> reports;

  bool MayHaveRun() const { return calls_maybe_run > 0; }
  bool EffectMayHaveRun() const { return effects_maybe_run > 0; }
  /// @brief Whether the search for an earlier request with the same key is
  /// complete. Also true if it has no key or its profile has no effect.
  bool KeyChecked() const {
    const bool has_effect = profile == nullptr || profile->HasEffect();
    return submission.key.empty() || !has_effect || key_row_read;
  }
  const StageSpec& stage() const { return profile->stages[stage_index]; }
  bool IsOnLastStage() const {
    return stage_index + 1 == profile->stages.size();
  }
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_REQUEST_H_
