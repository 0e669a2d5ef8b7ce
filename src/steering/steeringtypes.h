#ifndef YP_STEERING_STEERINGTYPES_H
#define YP_STEERING_STEERINGTYPES_H

#include "membership/membershiptypes.h"
#include "placement/placementtypes.h"
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// Load of a node as reported by that node.
struct NodeLoad
{
  double utilisation = 0; ///< requests in flight divided by the node's limit; above 1 when overloaded
  TimePoint received;     ///< when this node received the report
};

/// One address of an answer.
struct CallerAddress
{
  std::string host;
  Endpoint endpoint;
  std::string failureDomain;
  double weight = 0;
};

/// The addresses that a caller should connect to, in order of preference.
struct AddressAnswer
{
  std::chrono::milliseconds ttl{ 0 };
  TicketNumber ticket = 0;
  std::vector<CallerAddress> addresses;
};

} // namespace yp

#endif
