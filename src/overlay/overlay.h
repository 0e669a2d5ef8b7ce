#ifndef YP_OVERLAY_OVERLAY_H
#define YP_OVERLAY_OVERLAY_H

/// \file
/// Public header of the library yp_overlay: how tickets and membership reach every node.

#include "configservice/iconfigservice.h"
#include "configservice/ihostlist.h"
#include "membership/membership.h"
#include "overlay/ioverlaynode.h"
#include "tickets/tickets.h"
#include <functional>
#include <memory>

namespace yp {

/// What an overlay node works with. All references outlive it and belong to the control thread.
struct OverlayOptions
{
  const IClock& clock;
  IRandom& random;
  IPeerNetwork& network;
  IConfigService& service;
  IHostList& hostList;
  ITicketStore& store;
  IMemberTable& members; ///< its own record is that of this node
  /// \return whether this node needs the body of a ticket; empty: it needs all
  std::function<bool(const TicketHeader& aHeader)> interest;
};

/// \return a node that has registered its handlers with the network and starts with the first Tick
std::unique_ptr<IOverlayNode>
MakeOverlayNode(OverlayOptions aOptions);

} // namespace yp

#endif
