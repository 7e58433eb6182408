#ifndef GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_
#define GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/time.h"
#include "gentianroute/observe/duration_histogram.h"
#include "gentianroute/observe/metric_writer.h"
#include "gentianroute/routing/deployment.h"

namespace gentianroute::gateway {

/// @brief How a request ended, and what decided it.
struct RequestEnd {
  std::string_view id;
  std::string_view route;
  std::string_view organisation;
  std::string_view service;
  std::string_view server;  ///< the last one it was sent to
  std::string_view outcome;
  std::string_view detail;
  int status = 0;
  std::uint32_t attempts = 0;
  std::uint64_t deployment_version = 0;
  Duration stages_time{};         ///< until all stages were done
  Duration time_to_first_byte{};  ///< until the first part of the answer
  Duration total_time{};
  routing::RouteKind kind = routing::RouteKind::kIdempotent;
};

/// @brief What a request is about to go through, as far as is known then.
struct RequestAdmitted {
  std::string_view id;
  std::string_view route;
  std::string_view organisation;
  std::uint64_t deployment_version = 0;
  std::string_view stage_pieces;  ///< as the caller gave them
  std::string_view
      home_data_centre;  ///< data centre of the server that it wants
  Duration time_left{};
  Duration expected_stage_time{};  ///< by the backlogs as they are known here
};

/// @brief One send of a request's own call.
struct RequestSent {
  std::string_view id;
  std::string_view server;
  std::string_view data_centre;
  double server_calls = 0;   ///< there, of all daemons, as known here
  double server_tokens = 0;  ///< memory that they take
  double pending_prefill_tokens =
      0;                  ///< prompt tokens that are read before its own
  double own_tokens = 0;  ///< of its prompt, but for the shared parts
  double uncached_shared_tokens =
      0;                ///< shared tokens that may have to be read there
  double score_ms = 0;  ///< lowest of all servers that may be used
  Duration time_left{};
};

/// @brief Counts and logs what becomes of requests. Its labels are a closed
/// set, so that callers can't make it grow.
class RequestRecorder {
 public:
  void OnAdmitted(const RequestAdmitted& admitted);
  void OnSent(const RequestSent& sent);
  void OnEnd(const RequestEnd& end);
  /// @brief A request was sent once more, resumed, or its stage made again.
  void OnRetry(std::string_view id,
               std::string_view what,
               std::string_view server,
               std::string_view reason);
  void Write(MetricWriter& writer) const;

 private:
  static constexpr std::size_t kRouteKinds = 3;

  std::map<std::string, std::uint64_t, std::less<>> outcomes_;
  std::map<std::string, std::uint64_t, std::less<>> retries_;
  std::array<DurationHistogram, kRouteKinds> first_byte_times_;
  std::array<DurationHistogram, kRouteKinds> total_times_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REQUEST_RECORDER_H_
