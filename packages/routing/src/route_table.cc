#include "gentianroute/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace gentianroute::routing {
namespace {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.rfind(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

}  // namespace

RouteTable::RouteTable(Deployment deployment)
    : deployment_(std::move(deployment)) {
  for (const Route& route : deployment_.routes) {
    by_host_[HostKey(route.hostname)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const ServiceSpec& service : deployment_.services) {
    by_service_[service.name] = &service;
  }
  if (!deployment_.organisations) {
    return;
  }
  for (const Organisation& organisation : *deployment_.organisations) {
    for (const std::string& key : organisation.keys) {
      by_key_[key] = &organisation;
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  const auto& routes = found->second;
  const auto match = std::find_if(
      routes.begin(), routes.end(),
      [path](const Route* route) { return path.starts_with(route->prefix); });
  return match == routes.end() ? nullptr : *match;
}

const Organisation* RouteTable::FindOrganisation(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const ServiceSpec* RouteTable::FindService(std::string_view name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

std::vector<std::string> RouteTable::StageServices() const {
  std::vector<std::string> names;
  for (const ServiceSpec& service : deployment_.services) {
    if (service.stage) {
      names.push_back(service.name);
    }
  }
  return names;
}

std::string_view PickService(const Route& route, double draw) {
  std::uint64_t total = 0;
  for (const WeightedService& service : route.services) {
    total += service.weight;
  }
  double left = draw * static_cast<double>(total);
  for (const WeightedService& service : route.services) {
    left -= service.weight;
    if (left < 0) {
      return service.service;
    }
  }
  return route.services.empty() ? std::string_view{}
                                : route.services.back().service;
}

}  // namespace gentianroute::routing
