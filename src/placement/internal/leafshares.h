#ifndef YP_PLACEMENT_INTERNAL_LEAFSHARES_H
#define YP_PLACEMENT_INTERNAL_LEAFSHARES_H

#include "tickets/tickettypes.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// The failure domains that share a leaf's connections: those that the fleet ticket declares, sorted.
struct DeclaredDomains
{
  std::vector<std::string> names;

  /// \return index of a name; -1 when it is not declared
  int Find(const std::string& aName) const;
};

/// \return the declared failure domains; one without a name when none is declared
DeclaredDomains
ReadDomains(const FleetSpec& aFleet);

/// \return connections of a leaf that placement gives out, over all nodes
std::uint32_t
UsableConnections(const ServiceSpec& aService, const FleetSpec& aFleet);

/// \return connections that each shard has at least in every failure domain
std::uint32_t
ConnectionsPerShardAndDomain(const ServiceSpec& aService, const FleetSpec& aFleet);

/// Parts of a leaf's connection limit. Both are divided among failure domains and positions in the same way.
enum class ConnectionPool
{
  kUsable,  ///< given out by placement
  kHeadroom ///< covers connections of a holder that was replaced and may have come back
};

/// Connections to each leaf for some positions among the holders of one failure domain.
/// \param aPool part of the limit that is divided
/// \param aDomain index of the failure domain
/// \param aMine for each position, whether its connections are wanted
std::map<std::string, std::uint32_t>
SharesOfPositions(const ServiceSpec& aService,
                  const FleetSpec& aFleet,
                  ConnectionPool aPool,
                  int aDomain,
                  const std::vector<bool>& aMine);

} // namespace yp

#endif
