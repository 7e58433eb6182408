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

namespace gentianroute::routing {

/// @brief What may be done more than once for one request.
enum class RouteKind : std::uint8_t {
  kIdempotent,     ///< may run again
  kNonIdempotent,  ///< runs at most once
  kStream,         ///< events; runs once unless the route is resumable
};

/// @brief ServiceTime that must be done before a request's own call.
struct StageSpec {
  std::string service;
  std::vector<std::uint32_t> after;  ///< stages whose results it reads
  std::uint64_t result_bytes = 0;    ///< of one piece, about
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string hostname;
  std::string prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;
  Duration timeout{};          ///< longest time that a caller is kept waiting
  Duration target{};           ///< an answer within it is in time
  Duration pause_target{};     ///< longest pause between events that is in time
  std::uint32_t priority = 0;  ///< 0 goes first
  std::vector<WeightedService> services;
  std::uint32_t max_attempts = 1;  ///< servers that one request may be sent to
  std::vector<StageSpec> stages;
  bool is_public = false;  ///< asks for no key
  bool resumable = false;

  /// @brief How long callers wait for the first part of an answer.
  ///
  /// Callers give a stream up after a silence of two seconds, of four times its
  /// target, or of eight times its longest pause, whichever is longest.
  /// ServiceTime that ends later is for nobody.
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

/// @brief One model server's measure.
struct ModelCapacity {
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;
};

/// @brief One stage server's measure; a call takes `call` plus each piece's
/// time.
struct StageCapacity {
  std::uint32_t batch = 1;  ///< pieces in one call
  std::uint32_t slots = 1;  ///< calls at once
  Duration call_overhead{};
  Duration piece_time{};
  double result_storage_bytes = 0;  ///< for results
  Duration result_lifetime{};

  /// @brief What a call takes under load: calls are nearly full then.
  Duration TypicalCallTime() const {
    return call_overhead + piece_time * batch * 3 / 4;
  }
};

struct ServiceSpec {
  std::string name;
  std::optional<ModelCapacity> model;
  std::optional<StageCapacity> stage;
};

struct Organisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< goes before the route's
};

/// @brief One version of what operators want, in full.
struct Deployment {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  /// Absent: requests carry no key and none is asked for.
  std::optional<std::vector<Organisation>> organisations;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_DEPLOYMENT_H_
