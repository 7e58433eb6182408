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

/// @brief Timing and cost of one stage, for Server-Timing and metrics.
struct StageReport {
  std::string stage;
  Duration queued{0};
  Duration took{0};
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;  ///< attempts started to hedge a slow one
  std::uint64_t units = 0;   ///< as reported by the backend server
  /// Body bytes exchanged with servers of other regions, over all attempts.
  std::uint64_t billed_bytes = 0;
  std::int64_t cost = 0;  ///< micro-euros
};

/// @brief Sends a call of one stage to a backend server.
struct StartAttempt {
  AttemptId attempt;
  RequestId request;
  ServerRef server;
  ProfileRef profile;  ///< keeps `stage()` alive
  std::size_t stage_index = 0;
  /// JSON: the request and the results of the earlier stages.
  std::string input;
  std::string key;  ///< idempotency key, for backends that deduplicate by it
  std::string trace_parent;
  Duration remaining{0};            ///< time left to the request's deadline
  std::uint64_t resume_offset = 0;  ///< number of tokens already received
  /// Use only a connection known to be alive; set for calls that must not be
  /// repeated, since a reused connection may break after the call was written.
  bool fresh_connection = false;

  const StageSpec& stage() const { return profile->stages[stage_index]; }
};

/// @brief Cancels one call; an answer that still arrives is dropped.
struct CancelAttempt {
  AttemptId attempt;
  ServerRef server;
  /// Also close idle connections to the same server, since they may be broken
  /// as well.
  bool close_idle_connections = false;
  /// The failure, for the log; empty if the answer is no longer needed.
  std::string reason;
};

/// @brief Sends a part of a streamed answer to the caller.
struct DeliverChunk {
  RequestId request;
  std::uint64_t offset = 0;  ///< number of tokens before this part
  std::string text;
};

/// @brief Final answer to a request; sent exactly once for each.
struct FinishRequest {
  RequestId request;
  std::optional<ErrorKind> error;
  std::string detail;     ///< error detail; empty without an error
  std::string body;       ///< JSON result of the last stage; empty on error
  bool replayed = false;  ///< outcome of an earlier request with the same key
  /// False: the claim row of the key was not read, so an earlier request with
  /// this key may have run. The error then describes this request only.
  bool key_checked = true;
  std::string service;
  std::string profile;
  std::string organisation;
  std::string subscriber;
  Duration took{0};
  /// Time to the first token; zero if none was received.
  Duration first_token{0};
  std::int64_t cost = 0;  ///< micro-euros
  std::vector<StageReport> stages;
};

/// @brief Asks the daemon that holds a claim for its outcome.
struct QueryClaimHolder {
  RequestId request;
  Claim claim;
};

/// @brief Id of a peer's query, used to answer it.
using JoinId = Id<struct JoinTag>;

/// @brief What the daemon that created a claim token knows of it.
enum class JoinState : std::uint8_t {
  kFinished,   ///< ended with `error` or `body`
  kAbandoned,  ///< not dispatched and never will be
  kUnknown,    ///< no record: the daemon is gone, restarted or has forgotten it
};

struct JoinOutcome {
  JoinState state = JoinState::kUnknown;
  std::optional<ErrorKind> error;
  std::string body;
};

/// @brief Answers a peer's query.
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
