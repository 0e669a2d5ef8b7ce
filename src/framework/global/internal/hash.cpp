#include "framework/global/hash.h"
#include <cmath>
#include <cstdio>
#include <xxhash.h>

namespace yp {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
Hash128Hex(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  char text[33];
  std::snprintf(text,
                sizeof text,
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

double
RendezvousScore(std::string_view aKey, std::string_view aCandidate, double aWeight)
{
  const std::uint64_t hash = Hash64(aCandidate, Hash64(aKey));
  // The offset keeps the logarithm's argument inside (0, 1).
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -aWeight / std::log(unit);
}

} // namespace yp
