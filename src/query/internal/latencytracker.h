#ifndef YP_QUERY_INTERNAL_LATENCYTRACKER_H
#define YP_QUERY_INTERNAL_LATENCYTRACKER_H

#include "framework/global/global.h"
#include <array>
#include <atomic>

namespace yp {

/// Recent latencies of a service's attempts. Recording costs one relaxed increment. Thread-safe.
class LatencyTracker
{
public:
  void Record(Duration aLatency);

  /// \return the quantile of recent latencies, recomputed at most every 100 ms; aDefault before there are
  /// enough samples
  Duration Quantile(double aQuantile, Duration aDefault, TimePoint aNow);

private:
  static constexpr std::size_t kPerOctave = 16;
  static constexpr std::size_t kOctaves = 21;
  static constexpr std::size_t kBuckets = kPerOctave * kOctaves;

  static std::size_t BucketOf(Duration aLatency);
  static Duration UpperBound(std::size_t aBucket);
  void Recompute(double aQuantile);

  std::array<std::atomic<std::uint32_t>, kBuckets> counts{};
  std::atomic<std::int64_t> cached{ 0 };
  std::atomic<std::int64_t> nextCompute{ 0 };
};

} // namespace yp

#endif
