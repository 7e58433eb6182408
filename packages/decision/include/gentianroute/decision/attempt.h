#ifndef GENTIANROUTE_DECISION_ATTEMPT_H_
#define GENTIANROUTE_DECISION_ATTEMPT_H_

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <string>

#include "gentianroute/base/id.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

/// @brief How a call of a stage failed.
enum class AttemptFailure : std::uint8_t {
  kConnect,      ///< could not connect; no byte was written
  kRefused,      ///< the server reports that it did not run the call
  kLeaving,      ///< like kRefused, since the server is shutting down
  kServerError,  ///< status 5xx
  kRejected,     ///< status 4xx; another server would return the same
  kTimeout,      ///< no byte within the stage's timeout
  kReset,        ///< the connection was reset with the call in flight
  kTruncated,    ///< the answer is shorter than its framing announces
  kCrossed,      ///< the answer names another attempt
  kGap,          ///< the stream skipped tokens
};

/// @brief Properties of a failure that decide how it is handled.
struct FailureTraits {
  AttemptFailure failure;
  const char* name;
  bool may_have_run;           ///< the server may have run the call
  bool counts_against_server;  ///< recorded as a failure of the server's health
  bool retryable;              ///< a call to another server may succeed
  /// Other connections to the server may be broken too.
  bool invalidates_connections;
};

/// @complexity constant
const FailureTraits& TraitsOf(AttemptFailure failure);

/// @brief One call in flight.
struct Attempt
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  AttemptId id;
  RequestId request;
  Fingerprint fingerprint;
  std::size_t stage_index = 0;
  ServerRef server;
  TimePoint started{};
  /// Fails as kTimeout if no byte arrives before then.
  TimePoint next_byte_deadline{};
  bool written = false;  ///< the server may have received it
  bool suspect = false;  ///< its request was a suspect at the start
  /// When its server was last assumed to have crashed; zero if never.
  TimePoint suspected_crash_at{};
  /// At that crash a suspect with another fingerprint ran on the server.
  bool crashed_beside_suspect = false;
  std::uint64_t billed_bytes = 0;  ///< request bytes; 0 within the region
};

/// @brief The calls in flight at one server; its crash ends all of them.
using AttemptList =
    boost::intrusive::list<Attempt,
                           boost::intrusive::constant_time_size<false>>;

/// @brief The complete answer to one call.
struct AttemptAnswer {
  AttemptId attempt;  ///< the attempt that was sent on this connection
  AttemptId echoed;   ///< the attempt that the answer names
  int status = 0;
  std::string body;
  std::uint64_t units = 0;
  std::uint64_t received = 0;  ///< body bytes not counted by an AttemptChunk
  std::uint32_t load = 0;
  bool has_load = false;
  bool not_run = false;  ///< the server reports that it did not run the call
  bool leaving = false;  ///< the server reports that it is shutting down
};

/// @brief A part of a streamed answer.
struct AttemptChunk {
  AttemptId attempt;           ///< as in AttemptAnswer
  AttemptId echoed;            ///< as in AttemptAnswer
  std::uint64_t offset = 0;    ///< number of tokens before this part
  std::string text;            ///< one token
  std::uint64_t received = 0;  ///< body bytes received with this part
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_ATTEMPT_H_
