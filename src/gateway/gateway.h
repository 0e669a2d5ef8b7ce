#ifndef YP_GATEWAY_GATEWAY_H
#define YP_GATEWAY_GATEWAY_H

/// \file
/// Public header of the library yp_gateway: routes requests of callers to registered leafs. Decisions only;
/// requests are carried by an ILeafExchange.

#include "gateway/igateway.h"
#include "gateway/ileafexchange.h"
#include "gateway/leafdirectory.h"
#include "gateway/recordmerge.h"
#include "gateway/routingstate.h"
#include <memory>

namespace yp {

/// What a gateway works with. All references outlive it.
struct GatewayParts
{
  ILeafExchange& exchange;
  LeafDirectory& leafs;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
};

/// \return the gateway of one thread
std::unique_ptr<IGateway>
MakeGateway(const GatewayParts& aParts, const GatewayOptions& aOptions);

} // namespace yp

#endif
