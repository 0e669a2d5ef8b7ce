#ifndef YP_FLEETSTATUS_FLEETSTATUS_H
#define YP_FLEETSTATUS_FLEETSTATUS_H

/// \file
/// Public header of the library yp_fleetstatus: which ticket is in force on which node.

#include "fleetstatus/ifleetstatus.h"
#include "membership/membershiptypes.h"
#include "rpc/ipeercalls.h"
#include <memory>

namespace yp {

/// What the collection works with. All references outlive it.
struct FleetStatusParts
{
  IPeerCalls& calls;
  const IClock& clock;
  const BlackboardEntry<MemberView>& members;
  std::function<NodeReport()> ownReport;
};

/// \return the collector; it also serves the questions of other nodes
std::unique_ptr<IFleetStatus>
MakeFleetStatus(FleetStatusParts aParts);

} // namespace yp

#endif
