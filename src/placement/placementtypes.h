#ifndef YP_PLACEMENT_PLACEMENTTYPES_H
#define YP_PLACEMENT_PLACEMENTTYPES_H

#include "membership/membershiptypes.h"
#include "tickets/tickettypes.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// A host that placement may choose.
struct PlacementHost
{
  std::string host;
  std::string failureDomain;
};

/// Hosts of one failure domain that were placed together.
struct PastHosts
{
  std::chrono::milliseconds age{ 0 }; ///< time since the set came into force
  std::vector<std::string> hosts;     ///< sorted
};

/// Host sets of one failure domain, oldest first; the last one is current.
struct PlacementHistory
{
  std::string failureDomain;
  std::vector<PastHosts> sets;
};

/// One service's part of a placement.
struct ServicePlacement
{
  std::vector<std::string> holders; ///< hosts that hold connections to the service's leafs; sorted
  std::vector<double> weights;      ///< share of the service's load for each holder; the sum is 1
  std::map<std::string, std::uint32_t>
    ownConnections; ///< leaf id to connections of this node; empty if no holder
};

/// Who holds connections to which leafs, as this node sees it. Immutable; published on the blackboard.
struct Placement : RefCounted<Placement>
{
  TicketNumber ticket = 0;
  std::map<std::string, ServicePlacement> services;

  /// \return whether this node holds connections to the service's leafs
  bool Holds(const std::string& aService) const;
};

} // namespace yp

#endif
