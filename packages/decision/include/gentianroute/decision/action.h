#ifndef GENTIANROUTE_DECISION_ACTION_H_
#define GENTIANROUTE_DECISION_ACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/id.h"
#include "gentianroute/decision/catalogue.h"
#include "gentianroute/decision/claim.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

/// @brief What one stage took and cost, for Server-Timing and metrics.
struct StageReport {
  std::string stage;
  Duration queued{0};
  Duration took{0};
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;  ///< of them, beside a call that was slow
  std::uint64_t units = 0;   ///< as the backend server counts them
  /// Bodies sent to and received from servers of other regions, by all
  /// attempts.
  std::uint64_t billed_bytes = 0;
  std::int64_t cost = 0;  ///< micro-euros
};

/// @brief Sends one call of one stage to one backend server.
struct StartAttempt {
  AttemptId attempt;
  RequestId request;
  ServerRef server;
  ProfileRef profile;  ///< keeps `stage()` alive
  std::size_t stage_index = 0;
  std::string input;  ///< JSON: the request and the results so far
  std::string key;    ///< idempotency key, for backends that recognise it
  std::string trace_parent;
  Duration remaining{0};            ///< what is left of the deadline
  std::uint64_t resume_offset = 0;  ///< tokens that the daemon already holds
  /// A call that must not repeat goes only over a connection proven alive.
  bool fresh_connection = false;

  const StageSpec& stage() const { return profile->stages[stage_index]; }
};

/// @brief Gives up one call; its answer, if any comes, is dropped.
struct CancelAttempt {
  AttemptId attempt;
  ServerRef server;
  /// The connection went silent: close idle ones to the same server too.
  bool close_idle_connections = false;
  /// How the call failed, for the log; empty: its answer is no longer needed.
  std::string reason;
};

/// @brief Passes on a part of a streamed answer.
struct DeliverChunk {
  RequestId request;
  std::uint64_t offset = 0;  ///< tokens before this part
  std::string text;
};

/// @brief The one final answer to a request.
struct FinishRequest {
  RequestId request;
  std::optional<ErrorKind> error;
  std::string detail;     ///< with an error
  std::string body;       ///< without one: JSON of the last stage's result
  bool replayed = false;  ///< a stored or joined outcome of an earlier arrival
  /// False: the error speaks of this arrival only. The row of its key was not
  /// read, so an earlier arrival may have run.
  bool key_checked = true;
  std::string service;
  std::string profile;
  std::string organisation;
  std::string subscriber;
  Duration took{0};
  Duration first_token{0};  ///< zero: nothing was streamed
  std::int64_t cost = 0;    ///< micro-euros
  std::vector<StageReport> stages;
};

/// @brief Asks the daemon that holds a claim what became of it.
struct QueryClaimHolder {
  RequestId request;
  Claim claim;
};

/// @brief A number that a peer's question is answered by.
using JoinId = Id<struct JoinTag>;

/// @brief What the claiming daemon knows of a token.
enum class JoinState : std::uint8_t {
  kFinished,   ///< `error` or `body` tells how
  kAbandoned,  ///< never dispatched and never will be
  kUnknown,    ///< the daemon is gone, or was restarted
};

struct JoinOutcome {
  JoinState state = JoinState::kUnknown;
  std::optional<ErrorKind> error;
  std::string body;
};

/// @brief Answers a peer's question.
struct AnswerJoin {
  JoinId join;
  JoinOutcome outcome;
};

using Action = std::variant<StartAttempt,
                            CancelAttempt,
                            DeliverChunk,
                            FinishRequest,
                            QueryClaimHolder,
                            AnswerJoin>;

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_ACTION_H_
