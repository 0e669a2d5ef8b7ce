#ifndef YP_CTL_INTERNAL_ADMINCLIENT_H
#define YP_CTL_INTERNAL_ADMINCLIENT_H

#include "framework/global/global.h"

namespace yp {

/// Asks a node's admin interface and waits for the reply.
/// \param aNode admin address of the node
/// \param aTarget path and query
/// \param aTimeout longest wait for connect and reply together
/// \return the reply's JSON document; kUnavailable, kTimeout or kBadInput with the node as peer
Result<Json>
AskNode(const Endpoint& aNode, const std::string& aTarget, std::chrono::milliseconds aTimeout);

} // namespace yp

#endif
