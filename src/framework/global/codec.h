#ifndef YP_FRAMEWORK_GLOBAL_CODEC_H
#define YP_FRAMEWORK_GLOBAL_CODEC_H

#include "framework/global/errors.h"
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yp {

using Json = nlohmann::json;

/// Bounds on input from outside the process.
struct CodecLimits
{
  std::size_t maxBytes = 1024 * 1024;
  std::size_t maxDepth = 16;
};

/// Parses JSON strictly: one value, UTF-8, no duplicate keys, within the limits.
/// \param aText text to parse
/// \param aLimits bounds on size and nesting
/// \return the value; kBadInput with the byte position, and for a duplicate key its name
Result<Json>
ParseJson(std::string_view aText, const CodecLimits& aLimits = {});

/// Parses one CBOR value, within the limits, without duplicate keys.
/// \return the value; kBadInput otherwise
Result<Json>
ParseCbor(std::string_view aBytes, const CodecLimits& aLimits = {});

/// \return the CBOR encoding of a value
std::string
EncodeCbor(const Json& aValue);

/// Compresses bytes with zstd.
/// \return the compressed bytes; nothing when they would not be smaller
std::optional<std::string>
Compress(std::string_view aBytes);

/// Undoes Compress.
/// \param aSize size of the original, which bounds the memory taken; checked by the caller
/// \return the original; kBadInput when the bytes are malformed or of another size
Result<std::string>
Decompress(std::string_view aPacked, std::size_t aSize);

} // namespace yp

#endif
