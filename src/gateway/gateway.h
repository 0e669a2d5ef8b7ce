#ifndef YP_GATEWAY_GATEWAY_H
#define YP_GATEWAY_GATEWAY_H

/// \file
/// Public header of the library yp_gateway, which routes callers' requests to registered leafs. The library
/// only decides where requests go; an ILeafExchange transports them.

#include "gateway/igateway.h"
#include "gateway/ileafexchange.h"
#include "gateway/leafdirectory.h"
#include "gateway/recordmerge.h"
#include "gateway/routingstate.h"
#include <memory>

namespace yp {

/// Dependencies of a gateway. All referenced objects outlive it.
struct GatewayParts
{
  ILeafExchange& exchange;
  LeafDirectory& leafs;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
};

/// \return a gateway that is used on one thread only
std::unique_ptr<IGateway>
MakeGateway(const GatewayParts& aParts, const GatewayOptions& aOptions);

} // namespace yp

#endif
