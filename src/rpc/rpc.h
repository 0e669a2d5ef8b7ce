#ifndef YP_RPC_RPC_H
#define YP_RPC_RPC_H

/// \file
/// Public header of the library yp_rpc: calls with a reply between nodes.

#include "overlay/ipeernetwork.h"
#include "rpc/ipeercalls.h"
#include <memory>

namespace yp {

/// \return calls over a peer network; the arguments must outlive them
std::unique_ptr<IPeerCalls>
MakePeerCalls(IPeerNetwork& aNetwork, ITimers& aTimers, const IClock& aClock);

} // namespace yp

#endif
