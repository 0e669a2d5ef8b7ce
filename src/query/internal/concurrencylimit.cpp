#include "query/internal/concurrencylimit.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::int64_t kRecentSamples = 10;
constexpr std::int64_t kBaselineSamples = 200;
constexpr std::int64_t kLatencyGrowthFactor = 2;
// Limits the rate of decreases, because replies of the same burst report the same overload.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t aSlots, std::uint32_t aFactor)
  : maximum(std::max<std::uint32_t>(1, aSlots * aFactor) * kMilliPerAttempt)
  , initialLimit(std::max<std::uint32_t>(1, aSlots) * kMilliPerAttempt)
  , limitMilli(initialLimit)
{
}

void
ConcurrencyLimit::OnAnswer(Duration aLatency, std::uint32_t aInFlight, TimePoint aNow)
{
  const std::int64_t sample = aLatency.count();
  std::int64_t recentAverage = this->recent.load(std::memory_order_relaxed);
  std::int64_t baselineAverage = this->baseline.load(std::memory_order_relaxed);
  recentAverage = recentAverage == 0
                    ? sample
                    : recentAverage + (std::min(sample, 8 * recentAverage) - recentAverage) / kRecentSamples;
  baselineAverage =
    baselineAverage == 0
      ? sample
      : baselineAverage + (std::min(sample, 8 * baselineAverage) - baselineAverage) / kBaselineSamples;
  this->recent.store(std::max<std::int64_t>(1, recentAverage), std::memory_order_relaxed);
  this->baseline.store(std::max<std::int64_t>(1, baselineAverage), std::memory_order_relaxed);
  if (recentAverage > kLatencyGrowthFactor * baselineAverage) {
    this->Decrease(900, this->initialLimit, aNow);
    return;
  }
  const std::uint32_t limit = this->limitMilli.load(std::memory_order_relaxed);
  if (aInFlight * kMilliPerAttempt + kMilliPerAttempt > limit) {
    this->limitMilli.store(std::min(this->maximum, limit + kMilliPerAttempt * kMilliPerAttempt / (4 * limit)),
                           std::memory_order_relaxed);
  }
}

void
ConcurrencyLimit::Decrease(std::uint32_t aPerMille, std::uint32_t aFloor, TimePoint aNow)
{
  const std::int64_t now = aNow.time_since_epoch().count();
  std::int64_t until = this->holdUntil.load(std::memory_order_relaxed);
  if (now < until || !this->holdUntil.compare_exchange_strong(until, now + kDecreaseInterval.count())) {
    return;
  }
  const std::uint32_t limit = this->limitMilli.load(std::memory_order_relaxed);
  if (limit <= aFloor) {
    return;
  }
  this->limitMilli.store(
    std::max(aFloor,
             limit / kMilliPerAttempt * aPerMille + limit % kMilliPerAttempt * aPerMille / kMilliPerAttempt),
    std::memory_order_relaxed);
}

} // namespace yp
