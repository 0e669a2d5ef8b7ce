#ifndef YP_APP_INTERNAL_NODECONTEXT_H
#define YP_APP_INTERNAL_NODECONTEXT_H

#include "app/internal/daemonsettings.h"
#include "entry/entry.h"
#include "framework/global/global.h"
#include "placement/placementtypes.h"
#include "query/query.h"
#include "steering/steering.h"
#include <memory>

namespace yp {

/// What all threads of a node share. Built before any thread starts.
struct NodeContext
{
  explicit NodeContext(DaemonSettings aSettings);

  DaemonSettings settings;
  SystemClock clock;
  SeededRandom controlRandom;
  SeededRandom tableRandom; ///< used under the request table's lock
  Incarnation incarnation;
  Blackboard blackboard;
  BlackboardEntry<TicketState>& tickets;
  BlackboardEntry<MemberView>& members;
  BlackboardEntry<Placement>& placement;
  ServingState serving;
  EntryStats entryStats;
  std::unique_ptr<IQueryNode> queryNode;
  std::unique_ptr<IRequestTable> requests;
  std::unique_ptr<ISteering> steering;
};

} // namespace yp

#endif
