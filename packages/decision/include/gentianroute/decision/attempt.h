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
  kConnect,      ///< no connection; no byte was written
  kRefused,      ///< the server says that it did not run it
  kLeaving,      ///< like kRefused, because the server is leaving
  kServerError,  ///< status 5xx
  kRejected,     ///< status 4xx: another server would say the same
  kTimeout,      ///< silent for longer than the stage allows
  kReset,        ///< the connection broke with the call in flight
  kTruncated,    ///< the answer is shorter than its framing says
  kCrossed,      ///< the answer is another attempt's
  kGap,          ///< the stream skipped tokens
};

/// @brief What a failure says, by which the daemon goes on.
struct FailureTraits {
  AttemptFailure failure;
  const char* name;
  bool may_have_run;             ///< an effect may have taken place
  bool counts_against_server;    ///< counts against the server's health
  bool retryable;                ///< another call may fare better
  bool invalidates_connections;  ///< other connections to the server may be
                                 ///< dead too
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
  TimePoint next_byte_deadline{};  ///< given up if no byte comes before
  bool written = false;            ///< the far end may have seen it
  bool suspect = false;
  TimePoint suspected_crash_at{};  ///< when a crash of its server was supposed;
                                   ///< zero: no
  bool crashed_beside_suspect = false;  ///< another suspect ran there as well
  std::uint64_t billed_bytes = 0;  ///< that sending it moves between regions
};

/// @brief The calls in flight at one server; a crash ends them all.
using AttemptList =
    boost::intrusive::list<Attempt,
                           boost::intrusive::constant_time_size<false>>;

/// @brief A whole answer to one call.
struct AttemptAnswer {
  AttemptId attempt;  ///< of the connection that it came over
  AttemptId echoed;   ///< that the answer names
  int status = 0;
  std::string body;
  std::uint64_t units = 0;
  std::uint64_t received = 0;  ///< bytes of body that no chunk counted
  std::uint32_t load = 0;
  bool has_load = false;
  bool not_run = false;  ///< the server says that it refused before running
  bool leaving = false;  ///< the server says that it is leaving
};

/// @brief A part of a streamed answer.
struct AttemptChunk {
  AttemptId attempt;
  AttemptId echoed;
  std::uint64_t offset = 0;    ///< tokens before this part
  std::string text;            ///< one token
  std::uint64_t received = 0;  ///< bytes of body that brought it
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_ATTEMPT_H_
