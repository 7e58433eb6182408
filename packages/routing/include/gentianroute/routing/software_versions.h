#ifndef GENTIANROUTE_ROUTING_SOFTWARE_VERSIONS_H_
#define GENTIANROUTE_ROUTING_SOFTWARE_VERSIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::routing {

/// @brief Returns the software version of the listed servers of a service.
/// @return empty if there are no servers, or several versions
/// @complexity linear in the number of servers
std::optional<StreamOrigin> OnlyListedVersion(
    std::string_view service,
    std::span<const ServerPtr> servers);

/// @brief Remembers the software versions of servers that have gone, to tell
/// which versions can have begun a stream that is still wanted.
class SoftwareVersions {
 public:
  /// @param memory see StreamMemory()
  explicit SoftwareVersions(Duration memory) : memory_(memory) {}

  /// @brief Whether streams may have begun before the host list was known.
  enum class FleetState : std::uint8_t { kNew, kRunning };
  /// @brief Sets for how long gone versions are remembered. What is already
  /// forgotten stays so.
  void SetMemory(Duration memory) { memory_ = memory; }
  /// @brief The host list is known from now on.
  void OnListed(TimePoint now, FleetState fleet);
  /// @brief Servers of any version may have come and gone unseen until now.
  void OnMissed(TimePoint now);
  /// @brief A server has left the host list.
  void OnGone(TimePoint now, const ServerRecord& server);
  /// @brief The store's record of a service has been read, which names all
  /// versions that can have begun a stream until now.
  /// @param unlisted those that no server of the list has
  void OnRecordRead(TimePoint now,
                    std::string_view service,
                    std::span<const std::string> unlisted);
  /// @brief Whether all versions are known that can have begun a stream of a
  /// service which is still wanted.
  bool CoversStreams(TimePoint now, std::string_view service) const;
  /// @brief Versions of a service that have gone lately.
  std::vector<std::string> GoneLately(TimePoint now,
                                      std::string_view service) const;
  /// @brief Reports which versions can have begun a stream of a service.
  /// @param servers the listed servers of the service
  /// @complexity linear in the number of servers
  OriginReport Report(TimePoint now,
                      std::string_view service,
                      std::span<const ServerPtr> servers) const;

 private:
  Duration memory_;
  std::optional<TimePoint> listed_since_;  ///< min() in a new fleet
  /// Services whose record was read after the list.
  std::set<std::string, std::less<>> recorded_;
  /// When the last server of a version has gone, by service and version.
  std::map<std::string, std::map<std::string, TimePoint>, std::less<>> gone_at_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SOFTWARE_VERSIONS_H_
