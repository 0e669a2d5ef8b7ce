#ifndef YP_QUERY_INTERNAL_REPLICACHOOSER_H
#define YP_QUERY_INTERNAL_REPLICACHOOSER_H

#include "query/internal/serviceplan.h"
#include "query/query.h"

namespace yp {

/// What a choice of replica is for.
struct ReplicaNeed
{
  std::optional<IndexVersion> version; ///< none: any
  std::uint64_t tried = 0;             ///< bit i: replica i has been tried
  bool extra = false;                  ///< hedge: only replicas with room that are not excluded
};

struct ReplicaChoice
{
  int index = -1;    ///< -1: none
  bool busy = false; ///< none, but one would do once it has room
};

/// Chooses a replica of a shard by what this node has seen.
/// \param aShard at most 64 replicas are considered
ReplicaChoice
ChooseReplica(ShardPlan& aShard,
              const ReplicaNeed& aNeed,
              const QueryOptions& aOptions,
              IRandom& aRandom,
              TimePoint aNow);

} // namespace yp

#endif
