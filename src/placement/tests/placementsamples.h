#ifndef YP_PLACEMENT_TESTS_PLACEMENTSAMPLES_H
#define YP_PLACEMENT_TESTS_PLACEMENTSAMPLES_H

#include "placement/placement.h"
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace yp {

/// Shape of a generated fleet.
struct FleetShape
{
  std::size_t domains = 4;
  std::size_t regions = 1;
  std::size_t services = 4;
  std::size_t shards = 4;
  std::size_t replicas = 3;
  std::uint32_t connections = 25;
  double headroomPercent = 20;
};

inline std::string
Padded(const std::string& aPrefix, std::size_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return aPrefix + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
}

/// \return a service whose replicas of a shard lie in different failure domains
inline Ref<const ServiceSpec>
SampleSpec(const FleetShape& aShape, std::size_t aService)
{
  Ref<ServiceSpec> service(new ServiceSpec);
  service->name = Padded("s", aService);
  service->connections = aShape.connections;
  service->layouts.push_back({ 1, {} });
  for (std::size_t shard = 0; shard < aShape.shards; ++shard) {
    service->layouts[0].shards.push_back({ static_cast<ShardId>(shard), 1 });
    for (std::size_t replica = 0; replica < aShape.replicas; ++replica) {
      LeafSpec spec;
      spec.leaf = Padded("l", shard * aShape.replicas + replica);
      spec.failureDomain = Padded("d", (aService + shard + replica) % aShape.domains);
      spec.layout = 1;
      spec.shard = static_cast<ShardId>(shard);
      service->leafs.push_back(spec);
    }
  }
  return service;
}

inline Ref<TicketState>
SampleState(const FleetShape& aShape)
{
  Ref<TicketState> state(new TicketState);
  Ref<FleetSpec> fleet(new FleetSpec);
  fleet->connectionHeadroomPercent = aShape.headroomPercent;
  for (std::size_t domain = 0; domain < aShape.domains; ++domain) {
    fleet->failureDomains.push_back({ Padded("d", domain), Padded("r", domain % aShape.regions) });
  }
  state->fleet = fleet;
  for (std::size_t service = 0; service < aShape.services; ++service) {
    const Ref<const ServiceSpec> spec = SampleSpec(aShape, service);
    state->services[spec->name] = spec;
  }
  return state;
}

inline std::vector<PlacementHost>
SampleHosts(const FleetShape& aShape, std::size_t aHosts)
{
  std::vector<PlacementHost> hosts;
  for (std::size_t host = 0; host < aHosts; ++host) {
    hosts.push_back({ Padded("h", host), Padded("d", host % aShape.domains) });
  }
  return hosts;
}

/// \return a view in which all the hosts are placed and ready; hosts sorted by name
inline Ref<MemberView>
SampleView(const std::vector<PlacementHost>& aHosts, const std::string& aSelf)
{
  Ref<MemberView> view(new MemberView);
  view->self = aSelf;
  for (const PlacementHost& host : aHosts) {
    MemberStatus status;
    status.record.host = host.host;
    status.record.failureDomain = host.failureDomain;
    status.record.state = MemberState::kReady;
    view->members.push_back(status);
  }
  return view;
}

} // namespace yp

#endif
