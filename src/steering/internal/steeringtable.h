#ifndef YP_STEERING_INTERNAL_STEERINGTABLE_H
#define YP_STEERING_INTERNAL_STEERINGTABLE_H

#include "steering/steering.h"
#include <map>
#include <string>
#include <vector>

namespace yp {

/// A node whose address may be given to callers.
struct SteeringNode
{
  std::string host;
  Endpoint endpoint;
  std::string failureDomain;
  double preference = 1; ///< weight factor for closeness to this node
};

/// A holder of a service.
struct SteeringHolder
{
  std::size_t node = 0; ///< index in SteeringTable::nodes
  double share = 0;     ///< planned share of the service's load
};

/// A node that holds some of a caller's services.
struct SteeringCandidate
{
  std::size_t node = 0;     ///< index in SteeringTable::nodes
  std::size_t services = 0; ///< number of the caller's services that it holds
  double weight = 0;        ///< weight before the factor for measured load is applied
};

/// Data derived from tickets, members and placement. Immutable; reused until one of these changes.
struct SteeringTable : RefCounted<SteeringTable>
{
  TicketNumber ticket = 0;
  std::chrono::milliseconds ttl{ 0 };
  std::string self;
  std::vector<SteeringNode> nodes;
  std::map<std::string, std::vector<SteeringHolder>> holders;       ///< usable holders by service
  std::map<std::string, std::vector<SteeringCandidate>> candidates; ///< by caller
  std::vector<std::size_t> fallbackNodes; ///< nodes of each failure domain that forward to holders
};

/// The data that Answer and ForwardTarget read. Immutable; replaced by RCU.
struct SteeringSnapshot : RefCounted<SteeringSnapshot>
{
  Ref<const SteeringTable> table;
  std::vector<double> factors;      ///< weight factors for measured load, by index of the node
  std::vector<double> utilisations; ///< smoothed utilisations, by index of the node
};

/// Builds the table from one consistent set of inputs.
Ref<const SteeringTable>
BuildSteeringTable(const TicketState& aState,
                   const MemberView& aView,
                   const Placement& aPlacement,
                   const SteeringOptions& aOptions);

} // namespace yp

#endif
