#ifndef YP_RPC_RPC_H
#define YP_RPC_RPC_H

/// \file
/// Public header of the library yp_rpc: request/response calls between nodes.

#include "overlay/ipeernetwork.h"
#include "rpc/ipeercalls.h"
#include <memory>

namespace yp {

/// \return call interface that uses the given peer network; the arguments must outlive it
std::unique_ptr<IPeerCalls>
MakePeerCalls(IPeerNetwork& aNetwork, ITimers& aTimers, const IClock& aClock);

} // namespace yp

#endif
