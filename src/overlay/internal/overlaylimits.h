#ifndef YP_OVERLAY_INTERNAL_OVERLAYLIMITS_H
#define YP_OVERLAY_INTERNAL_OVERLAYLIMITS_H

#include "overlay/ipeernetwork.h"
#include <chrono>
#include <cstddef>

namespace yp {

// Limits that several parts of the overlay node use.
inline constexpr std::chrono::seconds kDigestInterval{ 1 };
inline constexpr std::size_t kDigestRanges = 4;
inline constexpr LinkId kNoLink = 0;

} // namespace yp

#endif
