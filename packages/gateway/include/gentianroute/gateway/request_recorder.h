#ifndef GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_
#define GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/decision/suspect_table.h"
#include "gentianroute/gateway/origin_finding.h"
#include "gentianroute/observe/duration_histogram.h"
#include "gentianroute/observe/metric_writer.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/placement.h"

namespace gentianroute::gateway {

/// @brief How a request ended.
struct RequestEnd {
  std::string_view id;
  std::string_view route;
  std::string_view organisation;
  std::string_view service;
  std::string_view server;  ///< the last one tried; empty if none
  std::string_view outcome;
  std::string_view detail;
  int status = 0;
  std::uint32_t attempts = 0;  ///< excludes those that were not sent
  std::uint64_t deployment_version = 0;
  Duration stages_time{};  ///< until all stages were done; 0 if they were not
  Duration time_to_first_byte{};  ///< 0 if there was no answer
  Duration total_time{};
  routing::RouteKind kind = routing::RouteKind::kIdempotent;
};

/// @brief An accepted request, and the expectations of it.
struct RequestAdmitted {
  std::string_view id;
  std::string_view route;
  std::string_view organisation;
  std::uint64_t deployment_version = 0;
  std::string_view
      stage_pieces;  ///< numbers from the caller, separated by commas
  /// Data centre of the server that it would be sent to now; empty if none.
  std::string_view home_data_centre;
  Duration time_left{};
  Duration expected_stage_time{};  ///< estimated from the backlogs
  Fingerprint fingerprint;
  std::string_view stream_begun_by;  ///< as in CallerRequest
  std::string_view resume_after;     ///< as in CallerRequest
};

/// @brief One attempt to have a request answered by a server.
struct RequestSent {
  std::string_view id;
  std::string_view server;
  std::string_view data_centre;
  std::string_view software_version;  ///< of the server
  double server_calls = 0;   ///< in flight at the server, from all daemons
  double server_tokens = 0;  ///< memory that these calls need, in tokens
  /// Tokens that the server has to prefill for earlier requests.
  double pending_prefill_tokens = 0;
  double own_tokens = 0;  ///< of its prompt, without the shared parts
  /// Tokens of shared parts that the server may not have in its cache.
  double uncached_shared_tokens = 0;
  double score_ms = 0;  ///< score of the chosen server, the lowest of all
  routing::PlacementCounts verdicts{};  ///< on the open servers
  Duration time_left{};
};

/// @brief A connection that broke while a server had the request: the server
/// may have crashed.
struct ServerBroke {
  std::string_view id;
  Fingerprint fingerprint;
  std::string_view server;
  /// Crashes of servers that had the request so far, as far as this daemon
  /// knows.
  std::size_t crashes = 0;
};

/// @brief Counts and logs the outcomes of requests. Metric labels come from a
/// fixed set, so that callers can't make their number grow.
class RequestRecorder {
 public:
  void OnAdmitted(const RequestAdmitted& admitted);
  void OnSent(const RequestSent& sent);
  void OnEnd(const RequestEnd& end);
  void OnServerBroke(const ServerBroke& broke);
  /// @brief Records that a peer got the request, since this daemon is cut off
  /// from the servers.
  void OnHandedOver(std::string_view id,
                    std::string_view peer,
                    std::uint32_t hops);
  /// @brief Records the result of asking the store and the peers for the origin
  /// of a stream that its caller takes up.
  void OnOriginLookedUp(std::string_view id,
                        std::string_view stream,
                        const OriginFinding& finding);
  /// @brief Records that a request crashes servers and is refused from now on.
  void OnQuarantined(Fingerprint fingerprint, std::size_t crashes);
  /// @brief Records that a part of prompts crashes servers: requests with it
  /// are refused from now on.
  void OnPartQuarantined(Fingerprint part, std::size_t crashes);
  /// @brief Records that crashes of servers are no longer held against a
  /// request.
  void OnCrashesDropped(Fingerprint fingerprint,
                        std::size_t crashes,
                        SuspectTable::DropReason reason);
  /// @brief Records that a request was retried or resumed, or that stages were
  /// run again.
  /// @param what kind of retry, a metric label
  void OnRetry(std::string_view id,
               std::string_view what,
               std::string_view server,
               std::string_view reason);
  void Write(MetricWriter& writer) const;

 private:
  static constexpr std::size_t kRouteKinds = 3;

  std::map<std::string, std::uint64_t, std::less<>> outcomes_;
  std::map<std::string, std::uint64_t, std::less<>> retries_;
  /// Requests for which a server could not be chosen, by the reason.
  std::array<std::uint64_t, routing::kPlacementVerdicts> limited_{};
  std::uint64_t servers_broke_ = 0;
  std::uint64_t handed_over_ = 0;
  std::uint64_t quarantines_ = 0;
  /// Streams taken up that this daemon had to ask the peers for.
  std::uint64_t origins_found_ = 0;
  std::uint64_t origins_unknown_ = 0;
  std::array<DurationHistogram, kRouteKinds> first_byte_times_;
  std::array<DurationHistogram, kRouteKinds> total_times_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_
