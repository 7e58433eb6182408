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

/// @brief What a request may do, and what it needs before it runs.
enum class RequestKind : std::uint8_t {
  kNonIdempotent,       ///< runs at most once
  kIdempotent,          ///< may run again
  kResumableStream,     ///< a stream that may be resumed, behind a chain of two
                        ///< stages
  kNonResumableStream,  ///< a stream that runs at most once, behind one stage
};

/// @brief One request, as a caller sent it.
struct SentRequest {
  RequestKind kind = RequestKind::kIdempotent;
  std::string target;
  std::string body;
  std::string service;       ///< the only one that may run it
  std::string organisation;  ///< holder of its key; empty: nobody's
  std::string stage_key;
  std::vector<std::uint32_t> segment_counts;  ///< of each stage
  std::uint32_t events = 0;                   ///< of its stream
  std::size_t daemon = 0;
  std::uint64_t daemon_start = 0;         ///< which run of the daemon's process
  std::uint64_t route_version = 0;        ///< the configuration that brought it
  std::uint64_t key_removed_version = 0;  ///< that took its key away; 0: none
};

/// @brief How a call ended, as its caller saw it.
struct ReceivedResponse {
  int status = 0;  ///< 0: none
  HttpHeaders fields;
  std::string body;
  bool complete = false;
  bool malformed = false;
  bool at_time_limit = false;  ///< the request's time was over
};

/// @brief One piece, as a stage server was asked for it.
struct SegmentCall {
  std::string request;
  std::uint32_t stage = 0;
  std::uint32_t segment = 0;
  std::string key;
  std::vector<std::string> inputs;
};

/// @brief What each promise says of what callers and servers saw.
///
/// It knows nothing of the daemons' inside. Each broken promise becomes a line;
/// a run passes with none.
class InvariantChecker {
 public:
  // From callers.
  void OnRequestSent(const std::string& id, SentRequest sent);
  void OnResponse(const std::string& id, const ReceivedResponse& response);
  /// @brief No answer long after the request's time limit.
  void OnNoResponse(const std::string& id);
  void OnCallerCancelled(const std::string& id);

  // From servers.
  /// @return the signature of this run
  std::string OnRun(const std::string& id,
                    std::string_view service,
                    std::string_view server,
                    std::string_view target,
                    std::string_view body,
                    const HttpHeaders& fields);
  /// @brief A fault of the servers or of their links took part in its fate.
  void AllowIncompleteResponse(const std::string& id);
  void OnSegmentCall(const SegmentCall& call);
  /// @brief The inputs of a model run, or of a piece.
  void CheckInputs(const std::string& request,
                   std::span<const std::string> inputs,
                   std::span<const std::uint32_t> of_stages);
  std::string AddResult(const std::string& server_address,
                        const SegmentCall& call);

  // From the daemons' processes.
  /// @brief A kill or a stop; what is open there may break.
  void OnDaemonEnds(std::size_t daemon, bool killed);
  void OnDaemonStarts(std::size_t daemon, std::uint64_t start);
  void AddViolation(std::string line) {
    violations_.push_back(std::move(line));
  }

  /// @brief Newest configuration that answers of this run of a daemon showed.
  std::uint64_t SeenVersion(std::size_t daemon) const;

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t answered() const { return answered_; }
  std::size_t refused() const { return refused_; }

  static std::string PlainBody(std::string_view id, std::string_view signature);
  static std::string Event(std::string_view id,
                           std::uint32_t number,
                           std::uint32_t events);

 private:
  struct Request {
    SentRequest sent;
    std::vector<std::string> signatures;
    bool refused = false;
    bool incomplete_allowed = false;
    bool daemon_killed = false;
    bool daemon_stopped = false;
    bool ended = false;
    std::uint64_t seen_version = 0;  ///< when it was asked
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
  void RecordVersion(const Request& request);
  Request* Find(const std::string& id);

  std::map<std::string, Request> requests_;
  std::map<std::string, Result> results_;
  std::map<std::size_t, DaemonRun> daemons_;
  std::vector<std::string> violations_;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t last_result_ = 0;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_INVARIANT_CHECKER_H_
