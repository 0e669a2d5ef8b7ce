#include "framework/global/codec.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_set>
#include <zstd.h>

namespace yp {

namespace {

constexpr int kCompressionLevel = 1;

/// The keys of one object. Most objects have few keys, for which a search in a vector is faster than a tree
/// or a hash.
class KeySet
{
public:
  /// \return false for a key that was added before
  bool Insert(const std::string& aKey)
  {
    if (this->few.size() < kFew) {
      if (std::find(this->few.begin(), this->few.end(), aKey) != this->few.end()) {
        return false;
      }
      this->few.push_back(aKey);
      return true;
    }
    if (this->many.empty()) {
      this->many.insert(this->few.begin(), this->few.end());
    }
    return this->many.insert(aKey).second;
  }

  /// Removes all keys and keeps the memory.
  void Clear()
  {
    this->few.clear();
    this->many.clear();
  }

private:
  static constexpr std::size_t kFew = 16;

  std::vector<std::string> few;
  std::unordered_set<std::string> many;
};

/// Builds a document and stops at excessive nesting, before the parser's recursion gets deep, and at
/// duplicate keys.
class BoundedBuilder final : public nlohmann::json_sax<Json>
{
public:
  BoundedBuilder(Json& aRoot, std::size_t aMaxDepth)
    : builder(aRoot, false)
    , maxDepth(aMaxDepth)
  {
  }

  bool null() override { return this->builder.null(); }
  bool boolean(bool aValue) override { return this->builder.boolean(aValue); }
  bool number_integer(number_integer_t aValue) override { return this->builder.number_integer(aValue); }
  bool number_unsigned(number_unsigned_t aValue) override { return this->builder.number_unsigned(aValue); }
  bool number_float(number_float_t aValue, const string_t& aText) override
  {
    return this->builder.number_float(aValue, aText);
  }
  bool string(string_t& aValue) override { return this->builder.string(aValue); }
  bool binary(binary_t& aValue) override { return this->builder.binary(aValue); }

  bool start_object(std::size_t aElements) override
  {
    if (this->openObjects == this->keys.size()) {
      this->keys.emplace_back();
    }
    this->keys[this->openObjects++].Clear();
    return this->Enter() && this->builder.start_object(aElements);
  }

  bool key(string_t& aKey) override
  {
    if (!this->keys[this->openObjects - 1].Insert(aKey)) {
      return this->Stop("duplicate key \"" + aKey.substr(0, kMaxShownKey) + "\"");
    }
    return this->builder.key(aKey);
  }

  bool end_object() override
  {
    --this->openObjects;
    --this->depth;
    return this->builder.end_object();
  }

  bool start_array(std::size_t aElements) override
  {
    return this->Enter() && this->builder.start_array(aElements);
  }

  bool end_array() override
  {
    --this->depth;
    return this->builder.end_array();
  }

  bool parse_error(std::size_t aPosition,
                   const std::string&,
                   const nlohmann::detail::exception& aError) override
  {
    return this->Stop(std::string(aError.what()) + " at byte " + std::to_string(aPosition));
  }

  const std::string& Problem() const { return this->problem; }

private:
  static constexpr std::size_t kMaxShownKey = 64;

  bool Enter()
  {
    if (++this->depth > this->maxDepth) {
      return this->Stop("nested deeper than " + std::to_string(this->maxDepth) + " levels");
    }
    return true;
  }

  bool Stop(std::string aProblem)
  {
    this->problem = std::move(aProblem);
    return false;
  }

  nlohmann::detail::json_sax_dom_parser<Json> builder;
  std::vector<KeySet> keys; ///< by nesting of objects; reused
  std::size_t openObjects = 0;
  std::size_t maxDepth;
  std::size_t depth = 0;
  std::string problem;
};

Result<Json>
ParseBounded(std::string_view aInput,
             const CodecLimits& aLimits,
             Json::input_format_t aFormat,
             const char* aStep)
{
  if (aInput.size() > aLimits.maxBytes) {
    return Fail(ErrorCode::kBadInput,
                aStep,
                "",
                "larger than " + std::to_string(aLimits.maxBytes) +
                  " bytes: " + std::to_string(aInput.size()));
  }
  Json root;
  BoundedBuilder builder(root, aLimits.maxDepth);
  try {
    if (Json::sax_parse(aInput.begin(), aInput.end(), &builder, aFormat)) {
      return root;
    }
  } catch (const Json::exception& error) {
    // The builder throws for container sizes that exceed the address space.
    return Fail(ErrorCode::kBadInput, aStep, "", error.what());
  }
  return Fail(ErrorCode::kBadInput, aStep, "", builder.Problem());
}

} // namespace

Result<Json>
ParseJson(std::string_view aText, const CodecLimits& aLimits)
{
  return ParseBounded(aText, aLimits, Json::input_format_t::json, "codec.json");
}

Result<Json>
ParseCbor(std::string_view aBytes, const CodecLimits& aLimits)
{
  return ParseBounded(aBytes, aLimits, Json::input_format_t::cbor, "codec.cbor");
}

std::string
EncodeCbor(const Json& aValue)
{
  std::string bytes;
  Json::to_cbor(aValue, bytes);
  return bytes;
}

std::optional<std::string>
Compress(std::string_view aBytes)
{
  std::string packed(ZSTD_compressBound(aBytes.size()), '\0');
  const std::size_t size =
    ZSTD_compress(packed.data(), packed.size(), aBytes.data(), aBytes.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size >= aBytes.size()) {
    return std::nullopt;
  }
  packed.resize(size);
  return packed;
}

Result<std::string>
Decompress(std::string_view aPacked, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  const std::size_t written = ZSTD_decompress(bytes.data(), bytes.size(), aPacked.data(), aPacked.size());
  if (ZSTD_isError(written) != 0 || written != aSize) {
    return Fail(ErrorCode::kBadInput, "codec.zstd", "", "compressed bytes are malformed");
  }
  return bytes;
}

} // namespace yp
