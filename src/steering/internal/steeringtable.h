#ifndef YP_STEERING_INTERNAL_STEERINGTABLE_H
#define YP_STEERING_INTERNAL_STEERINGTABLE_H

#include "steering/steering.h"
#include <map>
#include <string>
#include <vector>

namespace yp {

/// A node that callers may be sent to.
struct SteeringNode
{
  std::string host;
  Endpoint endpoint;
  std::string failureDomain;
  double preference = 1; ///< from the distance to the asked node
};

/// A holder as an index of a node.
struct SteeringHolder
{
  std::size_t node = 0;
  double share = 0; ///< planned share of the service's load
};

/// A node that serves some of a caller's services.
struct SteeringCandidate
{
  std::size_t node = 0;
  std::size_t services = 0; ///< number of the caller's services that it holds
  double weight = 0;        ///< without the factor from measured load
};

/// What follows from tickets, members and placement. Immutable; kept while these do not change.
struct SteeringTable : RefCounted<SteeringTable>
{
  TicketNumber ticket = 0;
  std::chrono::milliseconds ttl{ 0 };
  std::string self;
  std::vector<SteeringNode> nodes;
  std::map<std::string, std::vector<SteeringHolder>> holders;       ///< by service; nodes that may be used
  std::map<std::string, std::vector<SteeringCandidate>> candidates; ///< by caller
  std::vector<std::size_t> spares; ///< some nodes of each failure domain, which forward to holders
};

/// All that Answer and ForwardTarget read. Immutable; swapped by RCU.
struct SteeringSnapshot : RefCounted<SteeringSnapshot>
{
  Ref<const SteeringTable> table;
  std::vector<double> factors;      ///< from measured load, for each node of the table
  std::vector<double> utilisations; ///< for the choice of a forward target
};

/// Builds the table from one consistent set of inputs.
Ref<const SteeringTable>
BuildSteeringTable(const TicketState& aState,
                   const MemberView& aView,
                   const Placement& aPlacement,
                   const SteeringOptions& aOptions);

} // namespace yp

#endif
