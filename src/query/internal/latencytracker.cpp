#include "query/internal/latencytracker.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

constexpr std::uint64_t kMinSamples = 50;
constexpr Duration kComputeInterval = std::chrono::milliseconds(100);
// A decay of 1/8 every 100 ms gives the samples of the last second the most weight.
constexpr std::uint32_t kDecayDivisor = 8;
constexpr std::uint64_t kDecayAbove = 2000;

} // namespace

void
LatencyTracker::Record(Duration aLatency)
{
  this->counts[BucketOf(aLatency)].fetch_add(1, std::memory_order_relaxed);
}

Duration
LatencyTracker::Quantile(double aQuantile, Duration aDefault, TimePoint aNow)
{
  const std::int64_t now = aNow.time_since_epoch().count();
  std::int64_t next = this->nextCompute.load(std::memory_order_relaxed);
  if (now >= next && this->nextCompute.compare_exchange_strong(next, now + kComputeInterval.count())) {
    this->Recompute(aQuantile);
  }
  const std::int64_t value = this->cached.load(std::memory_order_relaxed);
  return value == 0 ? aDefault : Duration(value);
}

std::size_t
LatencyTracker::BucketOf(Duration aLatency)
{
  const auto micros = static_cast<std::uint64_t>(
    std::max<std::int64_t>(static_cast<std::int64_t>(kPerOctave),
                           std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count()));
  const auto octave = static_cast<std::size_t>(63 - __builtin_clzll(micros)) - 4;
  const std::size_t within = (micros >> octave) - kPerOctave;
  return std::min(octave * kPerOctave + within, kBuckets - 1);
}

Duration
LatencyTracker::UpperBound(std::size_t aBucket)
{
  const std::size_t octave = aBucket / kPerOctave;
  const std::uint64_t micros = (kPerOctave + aBucket % kPerOctave + 1) << octave;
  return std::chrono::microseconds(micros);
}

void
LatencyTracker::Recompute(double aQuantile)
{
  std::uint64_t total = 0;
  for (const auto& count : this->counts) {
    total += count.load(std::memory_order_relaxed);
  }
  if (total < kMinSamples) {
    return;
  }
  const auto wanted = static_cast<std::uint64_t>(std::ceil(static_cast<double>(total) * aQuantile));
  std::uint64_t seen = 0;
  bool found = false;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const std::uint32_t count = this->counts[bucket].load(std::memory_order_relaxed);
    seen += count;
    if (!found && seen >= wanted) {
      this->cached.store(UpperBound(bucket).count(), std::memory_order_relaxed);
      found = true;
    }
    if (total > kDecayAbove) {
      this->counts[bucket].fetch_sub((count + kDecayDivisor - 1) / kDecayDivisor, std::memory_order_relaxed);
    }
  }
}

} // namespace yp
