#ifndef YP_STEERING_STEERING_H
#define YP_STEERING_STEERING_H

/// \file
/// Public header of the library yp_steering: which addresses callers use.

#include "steering/isteering.h"
#include "steering/steeringtypes.h"
#include <chrono>
#include <memory>

namespace yp {

/// Settings of steering.
struct SteeringOptions
{
  std::chrono::milliseconds stepInterval{ 2000 }; ///< least time between two moves of the weights
  std::chrono::milliseconds loadMaxAge{ 6000 }; ///< an older load counts as the mean; three missed exchanges
  double maxStep = 0.2;                         ///< largest relative move of a weight in a step
  double ttlJitter = 0.25;                      ///< relative jitter of the time to live
  std::size_t maxAddresses = 8;                 ///< addresses in an answer
  double sameDomainPreference = 4.0;            ///< factor on the weight of nodes of the asked node's domain
  double sameRegionPreference = 2.0;            ///< factor for other domains of its region
};

/// \return a steering object without inputs; answers kUnavailable until the first Update
std::unique_ptr<ISteering>
MakeSteering(const SteeringOptions& aOptions = {});

} // namespace yp

#endif
