#include "query/internal/snapshotchooser.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace yp {

namespace {

SnapshotChoice
MeasureCoverage(const LayoutVersions& aLayout, IndexVersion aVersion)
{
  SnapshotChoice choice;
  choice.layout = aLayout.layout;
  choice.version = aVersion;
  for (const ShardVersions& shard : aLayout.shards) {
    bool certain = false;
    bool possible = false;
    for (const ReplicaVersions& replica : shard.replicas) {
      possible |= !replica.known;
      certain |=
        std::find(replica.versions.begin(), replica.versions.end(), aVersion) != replica.versions.end();
    }
    choice.total += shard.weight;
    choice.certain += certain ? shard.weight : 0;
    choice.possible += certain || possible ? shard.weight : 0;
  }
  return choice;
}

bool
IsBetter(const SnapshotChoice& aLeft, const SnapshotChoice& aRight)
{
  const auto rank = [](const SnapshotChoice& aChoice) {
    const bool certainFull = aChoice.certain == aChoice.total;
    const bool possibleFull = aChoice.possible == aChoice.total;
    const double total = static_cast<double>(std::max<std::uint64_t>(1, aChoice.total));
    const double coverage = possibleFull ? 1.0 : static_cast<double>(aChoice.possible) / total;
    return std::make_tuple(certainFull, possibleFull, coverage, aChoice.version, aChoice.layout);
  };
  return rank(aLeft) > rank(aRight);
}

} // namespace

std::optional<SnapshotChoice>
ChooseSnapshot(const std::vector<LayoutVersions>& aLayouts)
{
  std::optional<SnapshotChoice> best;
  for (const LayoutVersions& layout : aLayouts) {
    std::set<IndexVersion> versions;
    for (const ShardVersions& shard : layout.shards) {
      for (const ReplicaVersions& replica : shard.replicas) {
        versions.insert(replica.versions.begin(), replica.versions.end());
      }
    }
    for (const IndexVersion version : versions) {
      const SnapshotChoice choice = MeasureCoverage(layout, version);
      if (choice.possible > 0 && (!best || IsBetter(choice, *best))) {
        best = choice;
      }
    }
  }
  return best;
}

} // namespace yp
