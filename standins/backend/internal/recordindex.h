#ifndef YP_STANDINS_BACKEND_INTERNAL_RECORDINDEX_H
#define YP_STANDINS_BACKEND_INTERNAL_RECORDINDEX_H

#include "backend/backendtypes.h"
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace yp {

/// Inverted index over one shard's generated records in one index version. The records of a service are the
/// same in every layout; scores differ between versions.
class RecordIndex
{
public:
  RecordIndex(const BackendLeafSettings& aLeaf, std::uint64_t aSeed, IndexVersion aVersion);

  /// \return the best hits for any of the terms, best first, as a JSON array in text
  std::string Search(const std::vector<std::string>& aTerms, std::size_t aLimit) const;

private:
  struct Posting
  {
    std::uint32_t record = 0;
    float score = 0;
  };
  struct Record
  {
    std::string document;
    std::string fields; ///< JSON object as text
  };

  void Add(const BackendLeafSettings& aLeaf, std::uint64_t aSeed, const std::string& aDocument);

  IndexVersion version;
  std::vector<Record> records;
  std::unordered_map<std::string, std::vector<Posting>> postings;
};

} // namespace yp

#endif
