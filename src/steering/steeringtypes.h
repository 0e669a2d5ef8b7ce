#ifndef YP_STEERING_STEERINGTYPES_H
#define YP_STEERING_STEERINGTYPES_H

#include "membership/membershiptypes.h"
#include "placement/placementtypes.h"
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// Load of a node as it reports it itself.
struct NodeLoad
{
  double utilisation = 0; ///< requests in flight against the node's limit, 0 to 1 and above
  TimePoint received;     ///< when this node heard of it
};

/// One address of an answer.
struct CallerAddress
{
  std::string host;
  Endpoint endpoint;
  std::string failureDomain;
  double weight = 0;
};

/// Where a caller should connect, best first.
struct AddressAnswer
{
  std::chrono::milliseconds ttl{ 0 };
  TicketNumber ticket = 0;
  std::vector<CallerAddress> addresses;
};

} // namespace yp

#endif
