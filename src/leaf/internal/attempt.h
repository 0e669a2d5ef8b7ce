#ifndef YP_LEAF_INTERNAL_ATTEMPT_H
#define YP_LEAF_INTERNAL_ATTEMPT_H

#include "leaf/internal/timerqueue.h"
#include "query/ileaftransport.h"
#include <boost/intrusive/list.hpp>

namespace yp {

class Connection;
class LeafGroup;
class LeafPool;

using QueueHook =
  boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// An attempt, on the thread that owns the connections to its leaf.
struct Attempt final
  : TimerEntry
  , QueueHook
{
  void OnTimer() override;

  LeafAttempt request;
  std::size_t origin = 0; ///< index of the thread that sent it and receives the reply
  LeafPool* pool = nullptr;
  LeafGroup* group = nullptr;
  Connection* connection = nullptr; ///< set while a connection carries the attempt
  TimePoint writtenAt;
  bool cancelled = false;
};

using AttemptQueue = boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>>;

} // namespace yp

#endif
