#ifndef YP_ENTRY_ENTRY_H
#define YP_ENTRY_ENTRY_H

/// \file
/// Public header of the library yp_entry: what callers and peers ask of a node.

#include "entry/entrytypes.h"
#include "entry/icallerapi.h"
#include "entry/iforwarder.h"
#include "entry/irequestservice.h"
#include "membership/membershiptypes.h"
#include "placement/placementtypes.h"
#include "query/query.h"
#include "rpc/ipeercalls.h"
#include "steering/isteering.h"
#include <memory>

namespace yp {

/// What the request service of one thread works with. All references outlive it.
struct RequestServiceParts
{
  IQueryEngine& engine;
  IRequestTable& requests;
  IForwarder& forwarder;
  const ISteering& steering;
  ITimers& timers;
  const IClock& clock;
  IRandom& random; ///< of this thread
  const ServingState& serving;
  EntryStats& stats;
  const BlackboardEntry<TicketState>& tickets;
  const BlackboardEntry<Placement>& placement;
  IForwarder::Post post; ///< runs a function on this thread
};

/// \return the request service of one thread
std::unique_ptr<IRequestService>
MakeRequestService(const RequestServiceParts& aParts);

/// What the callers' interface of one thread works with. All references outlive it.
struct CallerApiParts
{
  IRequestService& service;
  const ISteering& steering;
  const IClock& clock;
  IRandom& random;
  const ServingState& serving;
  EntryStats& stats;
  const BlackboardEntry<TicketState>& tickets;
};

/// \return the callers' interface of one thread
std::unique_ptr<ICallerApi>
MakeCallerApi(const CallerApiParts& aParts);

/// Runs a function on the control thread.
using PostToControl = std::function<void(std::function<void()>)>;

/// \param aCalls used on the control thread only
/// \param aMembers for the peer addresses of hosts and incarnations
/// \param aPost posts to the control thread
std::unique_ptr<IForwarder>
MakeForwarder(IPeerCalls& aCalls,
              const BlackboardEntry<MemberView>& aMembers,
              const IClock& aClock,
              EntryStats& aStats,
              PostToControl aPost);

/// Serves requests that other nodes forward. Control thread only.
/// \param aCalls where the methods are registered
/// \param aPick gives a request thread's service and its post function, in turn
void
ServeForwarded(IPeerCalls& aCalls,
               const IClock& aClock,
               EntryStats& aStats,
               PostToControl aPostToControl,
               std::function<std::pair<IRequestService*, IForwarder::Post>()> aPick);

} // namespace yp

#endif
