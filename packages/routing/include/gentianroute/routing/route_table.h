#ifndef GENTIANROUTE_ROUTING_ROUTE_TABLE_H_
#define GENTIANROUTE_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/routing/deployment.h"

namespace gentianroute::routing {

/// @brief One version of the deployment, ready for look-ups. Requests hold the
/// one that they began under until they end.
class RouteTable {
 public:
  explicit RouteTable(Deployment deployment);

  /// @brief The route of the host with the longest prefix of the path.
  /// @param host as the caller sent it, with or without a port
  /// @param target path, perhaps with a query
  /// @return null if none matches
  /// @complexity linear in the routes of one host
  const Route* Find(std::string_view host, std::string_view target) const;

  /// @return null if no organisation holds the key
  const Organisation* FindOrganisation(std::string_view key) const;

  /// @return null if there is no such service
  const ServiceSpec* FindService(std::string_view name) const;
  /// @brief Names of the services that make stages.
  std::vector<std::string> StageServices() const;

  const Deployment& deployment() const { return deployment_; }
  std::uint64_t version() const { return deployment_.version; }

 private:
  Deployment deployment_;
  /// Routes of a host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string_view, const Organisation*> by_key_;
  std::unordered_map<std::string_view, const ServiceSpec*> by_service_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// @brief Picks one of a route's services by weight.
/// @param draw uniform in [0, 1)
std::string_view PickService(const Route& route, double draw);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_ROUTE_TABLE_H_
