#ifndef YP_FRAMEWORK_GLOBAL_LATENCYCOUNTS_H
#define YP_FRAMEWORK_GLOBAL_LATENCYCOUNTS_H

#include "framework/global/clock.h"
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace yp {

/// Counts of times since the start. Written and read by any thread.
struct LatencyCounts
{
  static constexpr std::size_t kBuckets = 24;
  static constexpr Duration kFirstBound = std::chrono::microseconds(100);

  /// Bucket i counts the times under 2^i times the first bound, the last bucket the rest.
  std::array<std::atomic<std::uint64_t>, kBuckets> buckets{};
  std::atomic<std::uint64_t> sumNs{ 0 };

  void Add(Duration aTime)
  {
    std::size_t bucket = 0;
    Duration bound = kFirstBound;
    while (bucket + 1 < kBuckets && aTime >= bound) {
      bound *= 2;
      ++bucket;
    }
    this->buckets[bucket]++;
    this->sumNs += static_cast<std::uint64_t>(aTime.count());
  }
};

} // namespace yp

#endif
