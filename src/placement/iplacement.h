#ifndef YP_PLACEMENT_IPLACEMENT_H
#define YP_PLACEMENT_IPLACEMENT_H

#include "placement/placementtypes.h"

namespace yp {

/// Decides which nodes hold connections to which leafs. Keeps the history that slows down growth of shares.
class IPlacementPlanner
{
public:
  virtual ~IPlacementPlanner() = default;

  /// Computes the placement for a state and a view.
  /// \param aState tickets in force
  /// \param aView members; only placed ones count
  /// \param aNow time, for the delay before a share grows
  /// \return the placement; equal inputs and history give equal results on every node
  virtual Ref<const Placement> Plan(const TicketState& aState, const MemberView& aView, TimePoint aNow) = 0;

  /// \return the host sets of this node's failure domain within the growth delay, for a peer that starts
  virtual PlacementHistory ExportHistory(TimePoint aNow) const = 0;

  /// Takes over the history of a ready peer of the same failure domain. Ignored when this
  /// node holds connections already; may be called before the first Plan and while it waits for the delay.
  virtual void ImportHistory(const PlacementHistory& aHistory, TimePoint aNow) = 0;
};

} // namespace yp

#endif
