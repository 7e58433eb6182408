#ifndef GENTIANROUTE_ROUTING_DEPLOYMENT_H_
#define GENTIANROUTE_ROUTING_DEPLOYMENT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/base/caller_limits.h"
#include "gentianroute/base/time.h"
#include "gentianroute/routing/permitted_regions.h"

namespace gentianroute::routing {

/// @brief How often one request of a route may be executed.
enum class RouteKind : std::uint8_t {
  kIdempotent,     ///< may be repeated
  kNonIdempotent,  ///< executed at most once
  kStream,  ///< event stream; executed once unless the route is resumable
};

/// @brief A stage whose results a request needs before its own call.
struct StageSpec {
  std::string service;
  std::vector<std::uint32_t> after;  ///< stages whose results it reads
  std::uint64_t result_bytes = 0;    ///< estimate for one piece
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

struct Route {
  std::string name;
  std::string hostname;
  std::string prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;
  Duration timeout{};          ///< longest time that a caller is kept waiting
  Duration target{};           ///< answers within this time are on time
  Duration pause_target{};     ///< longest pause between events that is on time
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  std::vector<WeightedService> services;
  std::uint32_t max_attempts = 1;  ///< most servers that a request is sent to
  std::vector<StageSpec> stages;
  bool is_public = false;  ///< callers need no key
  bool resumable = false;
  PermittedRegions permitted_regions;

  /// @brief How long callers wait for the first byte of an answer.
  ///
  /// Callers abandon a stream after a silence of two seconds, of four times the
  /// target or of eight times the longest pause, whichever is longest. Work
  /// that ends later is wasted.
  Duration FirstByteTimeout() const {
    constexpr int kTargetFactor = 4;
    constexpr int kPauseFactor = 8;
    constexpr Duration kMinTimeout = std::chrono::seconds(2);
    if (kind != RouteKind::kStream) {
      return timeout;
    }
    return std::min(timeout, std::max({kMinTimeout, target * kTargetFactor,
                                       pause_target * kPauseFactor}));
  }

  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// @brief Capacity of one model server.
struct ModelCapacity {
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;
};

/// @brief Capacity of one stage server. A call takes `call_overhead` plus
/// `piece_time` for each piece.
struct StageCapacity {
  std::uint32_t batch = 1;  ///< most pieces in one call
  std::uint32_t slots = 1;  ///< concurrent calls
  Duration call_overhead{};
  Duration piece_time{};
  double result_storage_bytes = 0;  ///< for unreleased results; 0: no limit
  Duration result_lifetime{};

  /// @brief Typical duration of a call under load, when calls are nearly full.
  Duration TypicalCallTime() const {
    return call_overhead + piece_time * batch * 3 / 4;
  }
};

/// @brief How servers of a service behave after a start.
struct WarmUpSpec {
  Duration duration{};  ///< a server is cold and slow for this time
  /// Requests that a cold server bears without crashing; 0: no limit.
  double requests_per_second = 0;
};

struct ServiceSpec {
  std::string name;
  std::optional<ModelCapacity> model;
  std::optional<StageCapacity> stage;
  WarmUpSpec warm_up;
};

struct Organisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< overrides that of the route
  PermittedRegions permitted_regions;
};

/// @brief One complete version of the configuration set by operators.
struct Deployment {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  /// Absent if requests carry no key and none is required.
  std::optional<std::vector<Organisation>> organisations;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_DEPLOYMENT_H_
