#ifndef YP_QUERY_INTERNAL_SNAPSHOTCHOOSER_H
#define YP_QUERY_INTERNAL_SNAPSHOTCHOOSER_H

#include "query/querytypes.h"
#include <optional>

namespace yp {

/// Versions that a usable replica can serve.
struct ReplicaVersions
{
  bool known = false;                 ///< whether the leaf has reported its versions
  std::vector<IndexVersion> versions; ///< versions that it can serve now
};

struct ShardVersions
{
  std::uint64_t weight = 0;
  std::vector<ReplicaVersions> replicas; ///< usable replicas only
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
  std::uint64_t possible = 0; ///< certain, plus the shards where the versions of a replica are unknown
  std::uint64_t total = 0;
};

/// Chooses the snapshot of a query: the newest version with full coverage, otherwise the one with the highest
/// coverage. Certain full coverage is preferred to possible full coverage; on a tie the newer layout wins.
/// \return none when no version of any layout is known
std::optional<SnapshotChoice>
ChooseSnapshot(const std::vector<LayoutVersions>& aLayouts);

} // namespace yp

#endif
