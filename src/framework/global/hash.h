#ifndef YP_FRAMEWORK_GLOBAL_HASH_H
#define YP_FRAMEWORK_GLOBAL_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace yp {

/// \return the 64-bit XXH3 hash of the bytes
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/// \return the 128-bit XXH3 hash of the bytes as 32 hexadecimal digits
std::string
Hash128Hex(std::string_view aBytes);

/// Score of a candidate for a key in rendezvous hashing: the highest score wins.
/// \param aKey key to place
/// \param aCandidate name of the candidate
/// \param aWeight relative share, more than 0
/// \return a score; independent of the other candidates
double
RendezvousScore(std::string_view aKey, std::string_view aCandidate, double aWeight = 1.0);

} // namespace yp

#endif
