#ifndef YP_QUERY_INTERNAL_LOOKUPLIMITS_H
#define YP_QUERY_INTERNAL_LOOKUPLIMITS_H

#include "framework/global/clock.h"

namespace yp {

// Limits that several parts of the lookup runner use.

// Rooms that another thread makes are not announced here, so waiting parts look again after this time.
inline constexpr Duration kWaitPoll = std::chrono::milliseconds(5);
inline constexpr std::uint32_t kMaxHedges = 2;
inline constexpr std::uint32_t kLateSamples = 20;

} // namespace yp

#endif
