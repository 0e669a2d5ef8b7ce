#ifndef YP_QUERY_INTERNAL_REPLICACHOOSER_H
#define YP_QUERY_INTERNAL_REPLICACHOOSER_H

#include "query/internal/serviceplan.h"
#include "query/query.h"

namespace yp {

/// Conditions that a replica must meet.
struct ReplicaRequirements
{
  std::optional<IndexVersion> version; ///< version to serve; none: any
  std::uint64_t tried = 0;             ///< bit i: replica i has been tried
  bool extra = false;                  ///< for a hedge: excluded replicas are not considered
};

struct ReplicaChoice
{
  int index = -1;    ///< -1: none
  bool busy = false; ///< no replica chosen, but one would be suitable once it has capacity
};

/// Chooses a replica of a shard by the health that this node observed.
/// \param aShard at most 64 replicas are considered
ReplicaChoice
ChooseReplica(ShardPlan& aShard,
              const ReplicaRequirements& aRequirements,
              const QueryOptions& aOptions,
              IRandom& aRandom,
              TimePoint aNow);

} // namespace yp

#endif
