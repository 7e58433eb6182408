#ifndef GENTIANROUTE_TESTS_SOAK_INVARIANT_CHECKER_H_
#define GENTIANROUTE_TESTS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/http.h"

namespace gentianroute::soak {

/// @brief Kind of a request: whether it may run again, and its stages.
enum class RequestKind : std::uint8_t {
  kNonIdempotent,       ///< must run at most once
  kIdempotent,          ///< may run again
  kResumableStream,     ///< may be resumed; runs after a chain of two
                        ///< stages
  kNonResumableStream,  ///< must run at most once; runs after one stage
};

/// @brief A request as its caller sent it.
struct SentRequest {
  RequestKind kind = RequestKind::kIdempotent;
  std::string target;
  std::string body;
  std::string service;  ///< the only one whose servers may run it
  /// Owner of its key; empty if the key has no owner.
  std::string organisation;
  std::string stage_key;
  std::vector<std::uint32_t> segment_counts;  ///< one for each stage
  std::uint32_t events = 0;  ///< number of events of its stream
  /// Request that began the stream which this one takes up; empty: none.
  std::string begun_by;
  std::size_t daemon = 0;
  std::uint64_t daemon_start = 0;  ///< start count of the daemon's process
  /// Configuration version that added the route.
  std::uint64_t route_version = 0;
  /// Configuration version that removes its key; 0: none.
  std::uint64_t key_removed_version = 0;
};

/// @brief Result of a call as its caller saw it.
struct ReceivedResponse {
  int status = 0;  ///< 0 if no response head arrived
  HttpHeaders fields;
  std::string body;
  bool complete = false;
  bool malformed = false;
  bool at_time_limit = false;  ///< the call ended at about its time limit
};

/// @brief One segment of a call that a stage server received.
struct SegmentCall {
  std::string request;
  std::uint32_t stage = 0;
  std::uint32_t segment = 0;
  std::string key;
  std::vector<std::string> inputs;
};

/// @brief Checks the guarantees of the daemons against what callers and servers
/// observe.
///
/// It uses no internal state of the daemons. Each violation is recorded as one
/// line; a run passes if there is none.
class InvariantChecker {
 public:
  // Events that callers observe.
  void OnRequestSent(const std::string& id, SentRequest sent);
  void OnResponse(const std::string& id, const ReceivedResponse& response);
  /// @brief No response arrived until long after the request's time limit.
  void OnNoResponse(const std::string& id);
  void OnCallerCancelled(const std::string& id);

  // Events that servers observe.
  /// @return the signature of this run
  std::string OnRun(const std::string& id,
                    std::string_view service,
                    std::string_view server,
                    std::string_view target,
                    std::string_view body,
                    const HttpHeaders& fields);
  /// @brief Permits an incomplete response, since a fault of a server or of its
  /// link affected the request.
  void AllowIncompleteResponse(const std::string& id);
  void OnSegmentCall(const SegmentCall& call);
  /// @brief Checks that the inputs of a model run or of a segment are exactly
  /// the results of the given stages.
  void CheckInputs(const std::string& request,
                   std::span<const std::string> inputs,
                   std::span<const std::uint32_t> of_stages);
  std::string AddResult(const std::string& server_address,
                        const SegmentCall& call);

  // Events of the daemon processes.
  /// @brief A daemon is killed or stopped; its open requests may be
  /// interrupted.
  void OnDaemonEnds(std::size_t daemon, bool killed);
  void OnDaemonStarts(std::size_t daemon, std::uint64_t start);
  void AddViolation(std::string line) {
    violations_.push_back(std::move(line));
  }

  /// @brief Newest configuration version that responses of the current run of a
  /// daemon have shown.
  std::uint64_t SeenVersion(std::size_t daemon) const;

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t answered() const { return answered_; }
  std::size_t refused() const { return refused_; }
  /// @brief Number of broken streams that their callers took up.
  std::size_t taken_up() const { return taken_up_; }
  /// @brief Number of those that received a further event.
  std::size_t went_on() const { return went_on_; }
  /// @brief Number of whole events of a stream that its caller has received.
  std::uint32_t EventsSeen(const std::string& begun_by) const;

  static std::string PlainBody(std::string_view id, std::string_view signature);
  /// @param version of the software of the server that sends it
  static std::string Event(std::string_view id,
                           std::uint32_t number,
                           std::uint32_t events,
                           std::string_view version);

 private:
  struct Request {
    SentRequest sent;
    std::vector<std::string> signatures;
    bool refused = false;
    bool incomplete_allowed = false;
    bool daemon_killed = false;
    bool daemon_stopped = false;
    bool ended = false;
    /// SeenVersion() of the daemon when the request was sent.
    std::uint64_t seen_version = 0;
    /// Of its stream, if it began one; all requests that take it up add to it.
    std::uint32_t events_seen = 0;
    std::string software_version;  ///< of the first event
    bool taken_up = false;
    bool went_on = false;
  };
  struct Result {
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t segment = 0;
  };
  struct DaemonRun {
    std::uint64_t start = 0;
    std::uint64_t seen_version = 0;
  };

  void CheckServerResponse(const std::string& id,
                           const Request& request,
                           const ReceivedResponse& response);
  void CheckDaemonResponse(const std::string& id,
                           Request& request,
                           const ReceivedResponse& response);
  void CheckIncompleteResponse(const std::string& id,
                               const Request& request,
                               const ReceivedResponse& response);
  /// @brief Checks the events of one response against what its stream still
  /// lacks, and adds them to the stream.
  void CheckEvents(const std::string& id,
                   const Request& request,
                   const ReceivedResponse& response);
  void RecordVersion(const Request& request);
  Request* Find(const std::string& id);

  std::map<std::string, Request> requests_;
  std::map<std::string, Result> results_;
  std::map<std::size_t, DaemonRun> daemons_;
  std::vector<std::string> violations_;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::size_t taken_up_ = 0;
  std::size_t went_on_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t last_result_ = 0;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_INVARIANT_CHECKER_H_
