#include "backend/internal/recordindex.h"
#include <algorithm>

namespace yp {

namespace {

using Words = std::vector<std::string>;

const Words kCellDistricts = { "centrs", "purvciems", "imanta", "kengarags" };
const Words kCells = { "watch-cell", "hearing-aid-cell" };
const Words kCellSizes = { "sr626", "sr920", "cr2032", "za10", "za312", "za13", "za675" };
const Words kApronDistricts = { "adum", "suame", "kejetia" };
const Words kAprons = { "cook-apron", "forge-apron", "market-apron", "school-apron" };
const Words kFabrics = { "canvas", "denim", "leather", "cotton", "kente" };
constexpr std::uint64_t kMachines = 40;

const std::string&
Pick(const Words& aWords, IRandom& aRandom)
{
  return aWords[aRandom.Below(aWords.size())];
}

Json
MakeFields(RecordKind aKind, IRandom& aRandom)
{
  if (aKind == RecordKind::kAprons) {
    return { { "product", Pick(kAprons, aRandom) },
             { "fabric", Pick(kFabrics, aRandom) },
             { "district", Pick(kApronDistricts, aRandom) } };
  }
  return { { "product", Pick(kCells, aRandom) },
           { "size", Pick(kCellSizes, aRandom) },
           { "district", Pick(kCellDistricts, aRandom) },
           { "machine", "machine-" + std::to_string(aRandom.Below(kMachines)) } };
}

} // namespace

RecordIndex::RecordIndex(const BackendLeafSettings& aLeaf, std::uint64_t aSeed, IndexVersion aVersion)
  : version(aVersion)
{
  for (std::uint32_t i = 0; i < aLeaf.documents; ++i) {
    const std::string document = aLeaf.service + "-" + std::to_string(i);
    if (Hash64(document) % aLeaf.totalShards == aLeaf.shardIndex) {
      this->Add(aLeaf, aSeed, document);
    }
  }
}

void
RecordIndex::Add(const BackendLeafSettings& aLeaf, std::uint64_t aSeed, const std::string& aDocument)
{
  // Content depends on seed and document alone, so that all replicas and layouts agree.
  SeededRandom random(Hash64(aDocument, aSeed));
  Json fields = MakeFields(aLeaf.records, random);
  const auto number = static_cast<std::uint32_t>(this->records.size());
  for (const auto& field : fields) {
    const auto term = field.get<std::string>();
    const std::uint64_t bits = Hash64(aDocument + "/" + term, aSeed + this->version);
    const auto score = static_cast<float>(bits % 10'000) / 1'000.0F + 0.001F;
    this->postings[term].push_back({ number, score });
  }
  fields["version"] = this->version;
  fields["shard"] = aLeaf.shard;
  this->records.push_back({ aDocument, fields.dump() });
}

std::string
RecordIndex::Search(const std::vector<std::string>& aTerms, std::size_t aLimit) const
{
  std::unordered_map<std::uint32_t, double> scores;
  for (const auto& term : aTerms) {
    const auto found = this->postings.find(term);
    if (found == this->postings.end()) {
      continue;
    }
    for (const auto& posting : found->second) {
      scores[posting.record] += posting.score;
    }
  }
  std::vector<std::pair<std::uint32_t, double>> hits(scores.begin(), scores.end());
  const auto better = [this](const auto& aLeft, const auto& aRight) {
    return aLeft.second != aRight.second
             ? aLeft.second > aRight.second
             : this->records[aLeft.first].document < this->records[aRight.first].document;
  };
  const std::size_t count = std::min(aLimit, hits.size());
  std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(count), hits.end(), better);
  std::string text = "[";
  for (std::size_t i = 0; i < count; ++i) {
    const Record& record = this->records[hits[i].first];
    text += i == 0 ? "" : ",";
    text += R"({"document":")" + record.document + R"(","score":)" + Json(hits[i].second).dump() +
            R"(,"fields":)" + record.fields + "}";
  }
  return text + "]";
}

} // namespace yp
