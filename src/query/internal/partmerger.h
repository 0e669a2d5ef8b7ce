#ifndef YP_QUERY_INTERNAL_PARTMERGER_H
#define YP_QUERY_INTERNAL_PARTMERGER_H

#include "query/querytypes.h"
#include <optional>

namespace yp {

/// Shard and snapshot that a reply belongs to.
struct PartIdentity
{
  LayoutId layout = 0;
  ShardId shard = 0;
  IndexVersion version = 0;
};

/// Parses the body of a search reply.
/// \return none when the body is not a JSON object with valid entries in "hits"
std::optional<std::vector<Hit>>
ParseHits(const std::string& aBody);

/// Collects the parts of one snapshot. Each shard is merged at most once.
class PartMerger
{
public:
  PartMerger() = default;

  /// \param aShards id and weight of the shards of the pinned layout
  PartMerger(LayoutId aLayout, IndexVersion aVersion, const std::vector<ShardSpec>& aShards);

  /// Merges a part.
  /// \param aIndex position of the shard in the layout
  /// \return whether the part was merged; false for duplicates and parts of another snapshot
  bool Merge(std::size_t aIndex, const PartIdentity& aPart, std::vector<Hit> aHits);

  bool Merged(std::size_t aIndex) const { return this->merged[aIndex]; }
  std::size_t MergedCount() const { return this->mergedCount; }
  bool AllMerged() const { return this->mergedCount == this->shards.size(); }
  Coverage Covered() const { return this->coverage; }

  /// \return the hits with the highest scores, best first; equal scores are ordered by document
  std::vector<Hit> TakeBest(std::uint32_t aLimit);

private:
  LayoutId layout = 0;
  IndexVersion version = 0;
  std::vector<ShardSpec> shards;
  std::vector<bool> merged;
  std::size_t mergedCount = 0;
  Coverage coverage;
  std::vector<Hit> hits;
};

} // namespace yp

#endif
