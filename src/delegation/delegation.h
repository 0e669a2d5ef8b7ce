#ifndef YP_DELEGATION_DELEGATION_H
#define YP_DELEGATION_DELEGATION_H

/// \file
/// Public header of the library yp_delegation: parts of queries between nodes, so that records cross failure
/// domains merged and not shard by shard.

#include "gateway/gateway.h"
#include "gossip/gossip.h"
#include <functional>
#include <memory>

namespace yp {

/// \param aContext must outlive the result
/// \param aPlan gives the nodes that carry traffic now
/// \param aOwnHost this node; never asked
std::unique_ptr<IPartDelegates>
MakePeerDelegates(boost::asio::io_context& aContext,
                  const IClock& aClock,
                  IRandom& aRandom,
                  std::function<const EntryPlan&()> aPlan,
                  std::string aOwnHost);

/// Path of requests for parts on a node's peers endpoint.
constexpr char kPartsPath[] = "/v1/parts";

/// Runs another node's part of a query and answers it.
void
ServeParts(IGateway& aGateway, HttpRequest aRequest, HttpRespond aRespond);

std::string
EncodePartsRequest(const PartsRequest& aRequest);

/// \return the request; kBadInput when it is malformed
Result<PartsRequest>
DecodePartsRequest(std::string_view aBytes);

std::string
EncodePartsReply(const PartsReply& aReply);

/// \return the reply; kBadInput when it is malformed
Result<PartsReply>
DecodePartsReply(std::string_view aBytes);

} // namespace yp

#endif
