#include "gateway/routingstate.h"
#include <algorithm>

namespace yp {

void
RoutingState::Index()
{
  this->byHost.clear();
  for (const RouteSpec& route : this->routes) {
    this->byHost[route.host].push_back(&route);
  }
  for (auto& [host, ordered] : this->byHost) {
    std::stable_sort(ordered.begin(), ordered.end(), [](const RouteSpec* aLeft, const RouteSpec* aRight) {
      return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
    });
  }
}

const RouteSpec*
RoutingState::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto found = this->byHost.find(aHost);
  if (found == this->byHost.end()) {
    return nullptr;
  }
  for (const RouteSpec* route : found->second) {
    if (aPath.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
      return route;
    }
  }
  return nullptr;
}

std::set<std::string>
RoutingState::Services() const
{
  std::set<std::string> services;
  for (const auto& [service, limit] : this->connectionLimits) {
    services.insert(service);
  }
  for (const RouteSpec& route : this->routes) {
    if (!route.service.empty()) {
      services.insert(route.service);
    }
    services.insert(route.shards.begin(), route.shards.end());
    for (const WeightedService& part : route.split) {
      services.insert(part.service);
    }
  }
  return services;
}

} // namespace yp
