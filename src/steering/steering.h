#ifndef YP_STEERING_STEERING_H
#define YP_STEERING_STEERING_H

/// \file
/// Public header of the library yp_steering: selection of the addresses that callers connect to.

#include "steering/isteering.h"
#include "steering/steeringtypes.h"
#include <chrono>
#include <memory>

namespace yp {

/// Settings of steering.
struct SteeringOptions
{
  std::chrono::milliseconds stepInterval{ 2000 }; ///< minimum time between two adjustments of the weights
  std::chrono::milliseconds loadMaxAge{ 6000 };   ///< older loads count as the mean; three missed exchanges
  double maxStep = 0.2;                           ///< maximum relative change of a weight in a step
  double ttlJitter = 0.25;                        ///< relative jitter of the time to live
  std::size_t maxAddresses = 8;                   ///< maximum number of addresses in an answer
  double sameDomainPreference = 4.0;              ///< weight factor for nodes in this node's failure domain
  double sameRegionPreference = 2.0;              ///< weight factor for other domains of this node's region
};

/// \return a steering object without inputs; its methods return kUnavailable until the first Update
std::unique_ptr<ISteering>
MakeSteering(const SteeringOptions& aOptions = {});

} // namespace yp

#endif
