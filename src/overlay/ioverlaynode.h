#ifndef YP_OVERLAY_IOVERLAYNODE_H
#define YP_OVERLAY_IOVERLAYNODE_H

#include "overlay/overlaytypes.h"

namespace yp {

/// The protocol engine of one node. Used by the control thread only.
class IOverlayNode
{
public:
  virtual ~IOverlayNode() = default;

  /// Continues with everything that time brings. To be called every 100 ms; a gap of more than 1 s counts as
  /// a pause of the process.
  virtual void Tick() = 0;

  /// \return whether this node may serve; false from the first call after a pause until it has caught up
  virtual bool Ready() = 0;

  /// Announces a state of this node to all, for example kLeaving and kGone. kReady is announced by the
  /// engine.
  virtual void AnnounceState(MemberState aState) = 0;

  /// \return a copy of the status
  virtual OverlayStatus Status() const = 0;
};

} // namespace yp

#endif
