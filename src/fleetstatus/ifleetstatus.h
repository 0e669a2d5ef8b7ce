#ifndef YP_FLEETSTATUS_IFLEETSTATUS_H
#define YP_FLEETSTATUS_IFLEETSTATUS_H

#include "framework/global/global.h"
#include "tickets/tickettypes.h"
#include <functional>
#include <string>
#include <vector>

namespace yp {

/// What one node says of itself.
struct NodeReport
{
  std::string host;
  std::string incarnation;
  std::string state; ///< life cycle state
  TicketNumber inForce = 0;
  TicketNumber highest = 0;
};

/// One row of a fleet report.
struct FleetRow
{
  NodeReport report; ///< only the host is set when the node was not heard
  std::string failureDomain;
  bool heard = false;
  std::chrono::milliseconds age{ 0 }; ///< upper bound on the age of the report
};

/// Collects which ticket is in force on which node, when asked. Control thread only.
class IFleetStatus
{
public:
  using Handler = std::function<void(const std::vector<FleetRow>&)>;

  virtual ~IFleetStatus() = default;

  /// Collects a report over all members. Questions during a collection share it; a report that is less than a
  /// second old is given again. \param aHandler gets a row for every member, sorted by host
  virtual void Collect(Handler aHandler) = 0;
};

} // namespace yp

#endif
