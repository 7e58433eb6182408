#ifndef GENTIANROUTE_ROUTING_VERSION_RECORD_H_
#define GENTIANROUTE_ROUTING_VERSION_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief What the store keeps of a service: the software versions that can
/// have begun a stream which its caller may still take up.
///
/// It outlives all daemons. A daemon that starts knows from it that a version
/// is the only one, although nobody is left who has watched the host list. It
/// is complete as long as no stream begins at a version that it doesn't have in
/// use while a server of one that it has can take the stream.
struct VersionRecord {
  /// By version: the newest incarnation among the servers that were listed when
  /// the version was last known to be complete here.
  std::map<std::string, std::uint64_t, std::less<>> in_use;
  /// Versions that have gone; no stream begins at them any more.
  std::set<std::string, std::less<>> retiring;
  std::uint64_t routes = 0;  ///< DigestOfStreamRoutes()
  /// Streams may have begun before their route moved to or from the service.
  bool routes_moved = false;
  /// Not all daemons may know the record yet, and so follow it.
  bool is_draft = true;
  /// Data centres with daemons that don't follow the record.
  std::set<std::string, std::less<>> unguarded;

  /// @brief Returns the versions that none of the listed servers has.
  std::vector<std::string> VersionsBesides(
      std::span<const ServerPtr> servers) const;

  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};

/// @brief Identifies how the streams that may be taken up are routed on the
/// hosts of a service.
/// @complexity linear in the number of routes
std::uint64_t DigestOfStreamRoutes(const RouteTable& table,
                                   std::string_view service);

/// @brief Names of the services that have streams which may be taken up.
std::set<std::string, std::less<>> StreamServices(const RouteTable& table);

/// @brief What one daemon knows of the streams of a service.
struct StreamKnowledge {
  std::span<const ServerPtr> servers;  ///< the listed ones
  std::vector<std::string> gone;       ///< versions that have gone lately
  /// Whether `gone` and `routes_moved` are complete.
  bool covers_streams = false;
  bool routes_moved = false;
  std::uint64_t routes = 0;
  std::string data_centre;  ///< of the daemon
  /// Whether a daemon there doesn't follow the record, or didn't lately.
  bool is_unguarded = false;
};

/// @brief The newest known records, and how a daemon changes them. Does no I/O.
///
/// A version is added before its first stream begins. A write may take effect
/// seconds after it was sent, and until then streams begin by the record
/// before. Therefore the first record of a service is a draft until all daemons
/// know it, and a version is removed in two steps: it is retiring for as long
/// as streams are remembered, in which all learn that none may begin at it.
class VersionRecords {
 public:
  /// @param memory see StreamMemory()
  /// @param max_propagation_time after which all daemons know a record
  VersionRecords(Duration memory, Duration max_propagation_time)
      : memory_(memory), max_propagation_time_(max_propagation_time) {}

  void SetMemory(Duration memory) { memory_ = memory; }
  /// @param record nullopt if there is none, or none that can be read
  void Set(TimePoint now,
           std::string_view service,
           std::optional<VersionRecord> record);
  /// @return null if there is no record
  const VersionRecord* Find(std::string_view service) const;
  /// @brief Returns the record that has to take the place of the present one.
  /// @return nullopt if it is up to date, or if the daemon knows too little to
  /// make one
  std::optional<VersionRecord> Next(TimePoint now,
                                    std::string_view service,
                                    const StreamKnowledge& knowledge) const;
  /// @brief Whether the record has all versions that can have begun a stream.
  ///
  /// A server of a version in use must have been listed all the while: streams
  /// begin at versions that couldn't be recorded if there is none.
  /// @param servers the listed servers of the service
  /// @complexity linear in the number of servers
  bool IsComplete(std::string_view service,
                  std::span<const ServerPtr> servers) const;
  /// @brief Returns the versions at which streams of a service may begin.
  /// @param servers the listed servers of the service
  /// @return empty if there is no record, or no server of a version in use: a
  /// service that has only a new version is served all the same
  std::vector<std::string> VersionsForNewStreams(
      std::string_view service,
      std::span<const ServerPtr> servers) const;

 private:
  struct Entry {
    VersionRecord record;
    TimePoint known_since{};
    /// When this daemon first saw a version retiring.
    std::map<std::string, TimePoint, std::less<>> retiring_since;
  };

  Duration memory_;
  Duration max_propagation_time_;
  std::map<std::string, Entry, std::less<>> entries_;  ///< by service
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_VERSION_RECORD_H_
