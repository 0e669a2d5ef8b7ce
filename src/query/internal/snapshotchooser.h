#ifndef YP_QUERY_INTERNAL_SNAPSHOTCHOOSER_H
#define YP_QUERY_INTERNAL_SNAPSHOTCHOOSER_H

#include "query/querytypes.h"
#include <optional>

namespace yp {

/// What a replica that may get work can serve.
struct ReplicaVersions
{
  bool known = false;                 ///< whether the leaf has ever named its versions
  std::vector<IndexVersion> versions; ///< servable now
};

struct ShardVersions
{
  std::uint64_t weight = 0;
  std::vector<ReplicaVersions> replicas; ///< those that may get work
};

struct LayoutVersions
{
  LayoutId layout = 0;
  std::vector<ShardVersions> shards;
};

struct SnapshotChoice
{
  LayoutId layout = 0;
  IndexVersion version = 0;
  std::uint64_t certain = 0;  ///< weight of the shards that are known to serve it
  std::uint64_t possible = 0; ///< with the shards that may serve it, because a replica is unknown
  std::uint64_t total = 0;
};

/// Chooses the snapshot of a query: the newest version with full coverage; without one, the highest coverage.
/// Certain coverage goes before possible coverage, and on a tie the newer layout is taken.
/// \return none when no version of any layout is known
std::optional<SnapshotChoice>
ChooseSnapshot(const std::vector<LayoutVersions>& aLayouts);

} // namespace yp

#endif
