#ifndef YP_PLACEMENT_INTERNAL_DOMAINASSIGNMENT_H
#define YP_PLACEMENT_INTERNAL_DOMAINASSIGNMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// What placement needs to know of a service to choose its holders.
struct ServiceDemand
{
  std::string name;
  std::uint64_t hash = 0;
  double load = 0;              ///< loadWeight x number of leafs
  std::uint32_t maxHolders = 1; ///< connections that every shard has in each failure domain
};

/// Holders of all services in one failure domain.
struct DomainAssignment
{
  /// Index of the host at each position of each service; in the order of the demands.
  std::vector<std::vector<std::uint32_t>> owners;
};

/// Chooses the holders of one failure domain by rendezvous hash with bounded loads.
/// \param aDemands services, in the same order on every node
/// \param aHosts hosts of the failure domain, sorted
DomainAssignment
AssignDomain(const std::vector<ServiceDemand>& aDemands, const std::vector<std::string>& aHosts);

} // namespace yp

#endif
