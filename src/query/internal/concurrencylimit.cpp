#include "query/internal/concurrencylimit.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::int64_t kRecentSamples = 10;
constexpr std::int64_t kBaselineSamples = 200;
constexpr std::int64_t kGrowthFactor = 2;
// One decrease a round trip is enough: replies of the same burst carry the same news.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t aSlots, std::uint32_t aFactor)
  : maximum(std::max<std::uint32_t>(1, aSlots * aFactor) * kUnit)
  , start(std::max<std::uint32_t>(1, aSlots) * kUnit)
  , milli(start)
{
}

void
ConcurrencyLimit::OnAnswer(Duration aLatency, std::uint32_t aInFlight, TimePoint aNow)
{
  const std::int64_t sample = aLatency.count();
  std::int64_t fast = this->recent.load(std::memory_order_relaxed);
  std::int64_t slow = this->baseline.load(std::memory_order_relaxed);
  fast = fast == 0 ? sample : fast + (std::min(sample, 8 * fast) - fast) / kRecentSamples;
  slow = slow == 0 ? sample : slow + (std::min(sample, 8 * slow) - slow) / kBaselineSamples;
  this->recent.store(std::max<std::int64_t>(1, fast), std::memory_order_relaxed);
  this->baseline.store(std::max<std::int64_t>(1, slow), std::memory_order_relaxed);
  if (fast > kGrowthFactor * slow) {
    this->Decrease(900, this->start, aNow);
    return;
  }
  const std::uint32_t limit = this->milli.load(std::memory_order_relaxed);
  if (aInFlight * kUnit + kUnit > limit) {
    this->milli.store(std::min(this->maximum, limit + kUnit * kUnit / (4 * limit)),
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
  const std::uint32_t limit = this->milli.load(std::memory_order_relaxed);
  if (limit <= aFloor) {
    return;
  }
  this->milli.store(std::max(aFloor, limit / kUnit * aPerMille + limit % kUnit * aPerMille / kUnit),
                    std::memory_order_relaxed);
}

} // namespace yp
