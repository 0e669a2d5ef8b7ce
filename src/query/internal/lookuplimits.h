#ifndef YP_QUERY_INTERNAL_LOOKUPLIMITS_H
#define YP_QUERY_INTERNAL_LOOKUPLIMITS_H

#include "framework/global/clock.h"

namespace yp {

// Limits shared by the source files of LookupRunner.

// Capacity freed by other threads is not reported to this thread, so waiting parts poll at this interval.
inline constexpr Duration kWaitPollInterval = std::chrono::milliseconds(5);
inline constexpr std::uint32_t kMaxHedges = 2;
inline constexpr std::uint32_t kLateSamples = 20;

} // namespace yp

#endif
