#include "query/internal/extraloadbudget.h"
#include <algorithm>

namespace yp {

namespace {

constexpr double kMaxExtraPercent = 10.0;
// Allows a burst of hedges when several queries use the same slow leaf at once.
constexpr double kMaxTokens = 50.0;
// Lets a service with few requests retry.
constexpr double kMinWindowAttempts = 1.0;

} // namespace

void
ExtraLoadBudget::AddFirst(std::uint32_t aCount, double aPercent, TimePoint aNow)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  this->Current(aNow).first += aCount;
  const double percent = std::clamp(aPercent, 0.0, kMaxExtraPercent);
  this->tokens = std::min(kMaxTokens, this->tokens + aCount * percent / 100.0);
}

bool
ExtraLoadBudget::TrySpend(TimePoint aNow)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  Second& current = this->Current(aNow);
  double first = 0;
  double extra = 0;
  for (const Second& second : this->seconds) {
    if (second.number > current.number - static_cast<std::int64_t>(kWindowSeconds)) {
      first += second.first;
      extra += second.extra;
    }
  }
  const double cap = std::max(kMinWindowAttempts, first * kMaxExtraPercent / 100.0);
  if (this->tokens < 1.0 || extra + 1.0 > cap) {
    return false;
  }
  this->tokens -= 1.0;
  current.extra += 1.0;
  return true;
}

ExtraLoadBudget::Second&
ExtraLoadBudget::Current(TimePoint aNow)
{
  const std::int64_t number =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  Second& second = this->seconds[static_cast<std::size_t>(number) % kWindowSeconds];
  if (second.number != number) {
    second = Second{ number, 0, 0 };
  }
  return second;
}

} // namespace yp
