#ifndef YP_PLACEMENT_PLACEMENT_H
#define YP_PLACEMENT_PLACEMENT_H

/// \file
/// Public header of the library yp_placement: which nodes hold connections to which leafs.

#include "placement/iplacement.h"
#include "placement/placementtypes.h"
#include <chrono>
#include <memory>

namespace yp {

/// Settings of a placement planner.
struct PlacementOptions
{
  /// A share grows only when every view of this period allows it. Longer than the oldest view expected (60
  /// s).
  std::chrono::milliseconds growthDelay{ 90000 };
};

/// \return a planner without history
std::unique_ptr<IPlacementPlanner>
MakePlacementPlanner(const PlacementOptions& aOptions = {});

} // namespace yp

#endif
