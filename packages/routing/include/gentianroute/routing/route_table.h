#ifndef GENTIANROUTE_ROUTING_ROUTE_TABLE_H_
#define GENTIANROUTE_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/routing/deployment.h"

namespace gentianroute::routing {

/// @brief Indexed lookup of one deployment version. A request keeps the version
/// that it started with until it ends.
class RouteTable {
 public:
  explicit RouteTable(Deployment deployment);

  /// @brief Finds the route of a host with the longest matching path prefix.
  /// @param host value of the Host header, with or without a port
  /// @param target path with an optional query
  /// @return null if none matches
  /// @complexity linear in the routes of the host
  const Route* Find(std::string_view host, std::string_view target) const;

  /// @return null if no organisation holds the key
  const Organisation* FindOrganisation(std::string_view key) const;

  /// @return null if the service does not exist
  const ServiceSpec* FindService(std::string_view name) const;
  /// @brief Names of the services that run stages.
  std::vector<std::string> StageServices() const;

  const Deployment& deployment() const { return deployment_; }
  std::uint64_t version() const { return deployment_.version; }

 private:
  Deployment deployment_;
  /// Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string_view, const Organisation*> by_key_;
  std::unordered_map<std::string_view, const ServiceSpec*> by_service_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// @brief Picks one of the services of a route by weight.
/// @param draw uniform random number in [0, 1)
std::string_view PickService(const Route& route, double draw);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_ROUTE_TABLE_H_
