#ifndef GENTIANROUTE_ROUTING_PLACEMENT_H_
#define GENTIANROUTE_ROUTING_PLACEMENT_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/brittle_server_limiter.h"
#include "gentianroute/routing/cold_server_limiter.h"
#include "gentianroute/routing/evacuations.h"
#include "gentianroute/routing/permitted_regions.h"
#include "gentianroute/routing/request_rate_limiter.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/stream_origin.h"
#include "gentianroute/routing/topology.h"

namespace gentianroute::routing {

/// @brief What limits the placement of all requests of a daemon.
struct PlacementRules {
  const Topology& topology;
  Evacuations evacuations;
  ColdServerLimiter cold_servers;
  RequestRateLimiter request_rates;
  BrittleServerLimiter brittle_servers;
};

/// @brief Whether work may be placed at a server or data centre, and why not.
enum class PlacementVerdict : std::uint8_t {
  kAccepted,
  kOutsideRegions,  ///< in a region that the request may not enter
  kEvacuated,
  kCold,  ///< the server is cold and may get no request from this daemon now
  kRateLimited,  ///< it has named a limit that leaves this daemon no request
                 ///< now
  kNotSender,    ///< it is brittle, and other daemons have all its slots
  kNoRoom,  ///< it is brittle, and this daemon's part of its slots is taken
  kOtherVersion,  ///< its software is not of the version that began the stream
  kBackoff,       ///< it has asked this daemon to send it nothing now
  kNotRecorded,   ///< streams may not begin at its software version yet
};
inline constexpr std::size_t kPlacementVerdicts = 10;

/// @brief Number of servers with each verdict.
using PlacementCounts = std::array<std::uint32_t, kPlacementVerdicts>;

/// @brief Where the work of one request may go.
///
/// Every choice of a server, a data centre or a daemon for a request consults
/// this, so that no path to a server can miss one of the rules.
class Placement {
 public:
  /// @param rules must outlive this object; later changes take effect at once
  Placement(const PlacementRules& rules, PermittedRegions regions)
      : rules_(&rules), regions_(std::move(regions)) {}

  const PermittedRegions& regions() const { return regions_; }
  void SetRegions(PermittedRegions regions) { regions_ = std::move(regions); }
  /// @brief Binds the request to the servers that began its stream. Other
  /// services, such as those of its stages, are not affected.
  void BindTo(StreamOrigin origin) { origin_ = std::move(origin); }
  /// @brief Sets the software versions at which a new stream of a service may
  /// begin. Without effect once the request is bound.
  /// @param versions empty: any
  void BeginStreamAt(std::string_view service,
                     std::vector<std::string> versions) {
    stream_service_ = service;
    stream_versions_ = std::move(versions);
  }

  /// @brief Whether daemons in a data centre may get the request or parts of
  /// it.
  bool PermitsDataIn(std::string_view data_centre) const {
    return regions_.PermitsAll() ||
           regions_.Permits(rules_->topology.RegionOf(data_centre));
  }
  /// @brief Whether servers in a data centre may get new work.
  PlacementVerdict Check(std::string_view data_centre) const {
    if (!PermitsDataIn(data_centre)) {
      return PlacementVerdict::kOutsideRegions;
    }
    return rules_->evacuations.Contains(data_centre)
               ? PlacementVerdict::kEvacuated
               : PlacementVerdict::kAccepted;
  }
  bool Accepts(std::string_view data_centre) const {
    return Check(data_centre) == PlacementVerdict::kAccepted;
  }
  /// @brief Whether a server may get the request at all, whatever its state.
  PlacementVerdict Check(const ServerRecord& server) const {
    const bool other_version =
        origin_ && origin_->service == server.service &&
        origin_->software_version != server.software_version;
    if (other_version) {
      return PlacementVerdict::kOtherVersion;
    }
    return MayBeginStreamAt(server) ? Check(server.data_centre)
                                    : PlacementVerdict::kNotRecorded;
  }
  bool Accepts(const ServerRecord& server) const {
    return Check(server) == PlacementVerdict::kAccepted;
  }
  /// @brief Whether a server may get a request now.
  PlacementVerdict Check(TimePoint now, const Server& server) const {
    const PlacementVerdict verdict = Check(server.record());
    if (verdict != PlacementVerdict::kAccepted) {
      return verdict;
    }
    if (!server.backoff().MaySend(now)) {
      return PlacementVerdict::kBackoff;
    }
    if (!rules_->cold_servers.MaySend(now, server)) {
      return PlacementVerdict::kCold;
    }
    if (!rules_->request_rates.MaySend(now, server)) {
      return PlacementVerdict::kRateLimited;
    }
    switch (rules_->brittle_servers.Check(now, server)) {
      case BrittleServerLimiter::Verdict::kNotSender:
        return PlacementVerdict::kNotSender;
      case BrittleServerLimiter::Verdict::kNoRoom:
        return PlacementVerdict::kNoRoom;
      case BrittleServerLimiter::Verdict::kMaySend:
        break;
    }
    return PlacementVerdict::kAccepted;
  }

 private:
  bool MayBeginStreamAt(const ServerRecord& server) const {
    const bool is_free = origin_ || stream_versions_.empty() ||
                         server.service != stream_service_;
    return is_free ||
           std::ranges::find(stream_versions_, server.software_version) !=
               stream_versions_.end();
  }

  const PlacementRules* rules_;
  PermittedRegions regions_;
  std::optional<StreamOrigin> origin_;
  std::string stream_service_;
  std::vector<std::string> stream_versions_;
};

/// @brief Whether any of the servers is open and accepts the work, whatever its
/// state.
bool HasPlace(std::span<const ServerPtr> servers, const Placement& placement);

/// @brief Time until one of the open servers that accept the work may be sent
/// something again; zero unless all of them have asked for a backoff.
Duration BackoffLeft(TimePoint now,
                     std::span<const ServerPtr> servers,
                     const Placement& placement);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PLACEMENT_H_
