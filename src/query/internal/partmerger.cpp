#include "query/internal/partmerger.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

std::optional<Json>
ParseBody(const std::string& aBody)
{
  return Recover(
    [&]() -> Result<std::optional<Json>> {
      BOOST_LEAF_AUTO(value, ParseJson(aBody));
      return std::optional<Json>(std::move(value));
    },
    [](const Error&) { return std::optional<Json>(); });
}

} // namespace

std::optional<std::vector<Hit>>
ParseHits(const std::string& aBody)
{
  const std::optional<Json> body = ParseBody(aBody);
  if (!body || !body->is_object() || !body->contains("hits") || !(*body)["hits"].is_array()) {
    return std::nullopt;
  }
  std::vector<Hit> hits;
  hits.reserve((*body)["hits"].size());
  for (const Json& item : (*body)["hits"]) {
    const bool valid = item.is_object() && item.contains("document") && item["document"].is_string() &&
                       item.contains("score") && item["score"].is_number();
    if (!valid) {
      return std::nullopt;
    }
    const std::string fields = item.contains("fields") ? item["fields"].dump() : "{}";
    hits.push_back(Hit{ item["document"].get<std::string>(), item["score"].get<double>(), fields });
  }
  return hits;
}

PartMerger::PartMerger(LayoutId aLayout, IndexVersion aVersion, const std::vector<ShardSpec>& aShards)
  : layout(aLayout)
  , version(aVersion)
  , shards(aShards)
  , merged(aShards.size(), false)
{
  for (const ShardSpec& shard : this->shards) {
    this->coverage.total += shard.weight;
  }
}

bool
PartMerger::Merge(std::size_t aIndex, const PartIdentity& aPart, std::vector<Hit> aHits)
{
  const bool same = aIndex < this->shards.size() && aPart.layout == this->layout &&
                    aPart.shard == this->shards[aIndex].shard && aPart.version == this->version;
  YP_INVARIANT(same, "query.part_of_pinned_snapshot", "shard=" + std::to_string(aPart.shard));
  if (!same || this->merged[aIndex]) {
    return false;
  }
  this->merged[aIndex] = true;
  ++this->mergedCount;
  this->coverage.covered += this->shards[aIndex].weight;
  YP_INVARIANT(this->coverage.covered <= this->coverage.total,
               "query.coverage_at_most_total",
               std::to_string(this->coverage.covered) + " of " + std::to_string(this->coverage.total));
  std::move(aHits.begin(), aHits.end(), std::back_inserter(this->hits));
  return true;
}

std::vector<Hit>
PartMerger::TakeBest(std::uint32_t aLimit)
{
  const std::size_t count = std::min<std::size_t>(aLimit, this->hits.size());
  std::partial_sort(this->hits.begin(),
                    this->hits.begin() + static_cast<std::ptrdiff_t>(count),
                    this->hits.end(),
                    [](const Hit& aLeft, const Hit& aRight) {
                      return aLeft.score != aRight.score ? aLeft.score > aRight.score
                                                         : aLeft.document < aRight.document;
                    });
  this->hits.resize(count);
  return std::move(this->hits);
}

} // namespace yp
