#ifndef YP_FRAMEWORK_GLOBAL_TESTS_FAKETIMERS_H
#define YP_FRAMEWORK_GLOBAL_TESTS_FAKETIMERS_H

#include "framework/global/global.h"
#include <map>
#include <utility>

namespace yp {

/// Timers over a manual clock, for tests in virtual time.
class FakeTimers final : public ITimers
{
public:
  explicit FakeTimers(ManualClock& aClock)
    : clock(aClock)
  {
  }

  TimerId At(TimePoint aWhen, std::function<void()> aFunction) override
  {
    const TimerId id = this->nextId++;
    this->pending.emplace(std::make_pair(aWhen, id), std::move(aFunction));
    this->times.emplace(id, aWhen);
    return id;
  }

  void Cancel(TimerId aTimer) override
  {
    const auto when = this->times.find(aTimer);
    if (when == this->times.end()) {
      return;
    }
    this->pending.erase({ when->second, aTimer });
    this->times.erase(when);
  }

  /// Moves the clock forward and fires what becomes due, in order.
  void RunFor(Duration aSpan)
  {
    const TimePoint end = this->clock.Now() + aSpan;
    while (!this->pending.empty() && this->pending.begin()->first.first <= end) {
      const auto next = this->pending.begin();
      if (next->first.first > this->clock.Now()) {
        this->clock.Advance(next->first.first - this->clock.Now());
      }
      const std::function<void()> function = std::move(next->second);
      this->times.erase(next->first.second);
      this->pending.erase(next);
      function();
    }
    if (end > this->clock.Now()) {
      this->clock.Advance(end - this->clock.Now());
    }
  }

private:
  ManualClock& clock;
  TimerId nextId = 1;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> pending;
  std::map<TimerId, TimePoint> times;
};

} // namespace yp

#endif
