#include "changefeed/changefeed.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kBatchFields = 4;
constexpr std::size_t kChangeFields = 5;
constexpr std::size_t kPackedFields = 2;   // size and compressed bytes
constexpr std::size_t kCompressFrom = 400; // bytes; smaller batches fit in a packet anyway
constexpr CodecLimits kBatchLimits{ 16 * 1024 * 1024, 8 };

Json::binary_t
ToBinary(const std::string& aBytes)
{
  return Json::binary_t({ aBytes.begin(), aBytes.end() });
}

std::string
FromBinary(const Json& aValue)
{
  const Json::binary_t& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

Change
ChangeOf(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kChangeFields) {
    throw std::runtime_error("a change has another number of fields");
  }
  return Change{ aValue[0].get<std::string>(),
                 FromBinary(aValue[4]),
                 aValue[1].get<std::uint64_t>(),
                 aValue[2].get<bool>(),
                 aValue[3].get<bool>() };
}

ChangeBatch
BatchOf(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kBatchFields || !aValue[3].is_array()) {
    throw std::runtime_error("not a batch");
  }
  ChangeBatch batch;
  batch.after = aValue[0].get<std::uint64_t>();
  batch.upTo = aValue[1].get<std::uint64_t>();
  batch.complete = aValue[2].get<bool>();
  for (const Json& change : aValue[3]) {
    batch.changes.push_back(ChangeOf(change));
  }
  return batch;
}

} // namespace

std::string
EncodeBatch(const ChangeBatch& aBatch)
{
  Json changes = Json::array();
  for (const Change& change : aBatch.changes) {
    changes.push_back(Json::array({ change.key,
                                    change.revision,
                                    change.removed,
                                    change.mayReturn,
                                    Json::binary(ToBinary(change.value)) }));
  }
  std::string plain =
    EncodeCbor(Json::array({ aBatch.after, aBatch.upTo, aBatch.complete, std::move(changes) }));
  const std::optional<std::string> packed = plain.size() < kCompressFrom ? std::nullopt : Compress(plain);
  return packed ? EncodeCbor(Json::array({ plain.size(), Json::binary(ToBinary(*packed)) })) : plain;
}

Result<ChangeBatch>
DecodeBatch(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kBatchLimits));
  try {
    if (!value.is_array() || value.size() != kPackedFields) {
      return BatchOf(value);
    }
    const auto size = value[0].get<std::uint64_t>();
    if (size > kBatchLimits.maxBytes) {
      return Fail(ErrorCode::kBadInput, "changefeed.decode", "", "too large a batch");
    }
    BOOST_LEAF_AUTO(plain, Decompress(FromBinary(value[1]), size));
    BOOST_LEAF_AUTO(batch, ParseCbor(plain, kBatchLimits));
    return BatchOf(batch);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kBadInput, "changefeed.decode", "", error.what());
  }
}

} // namespace yp
