#ifndef YP_GATEWAY_INTERNAL_LOGBUDGET_H
#define YP_GATEWAY_INTERNAL_LOGBUDGET_H

#include "framework/global/global.h"
#include <algorithm>

namespace yp {

/// Limits the rate of log lines about requests. Part of the budget is reserved for important lines, so that
/// the others are dropped first. Dropped lines are counted for the next line that is written.
class LogBudget
{
public:
  explicit LogBudget(const IClock& aClock)
    : clock(aClock)
    , refilled(aClock.Now())
  {
  }

  /// \param aImportant whether the line may use the part of the budget that is reserved for faults
  /// \return whether the line may be written
  bool Take(bool aImportant)
  {
    const TimePoint now = this->clock.Now();
    const double seconds = std::chrono::duration<double>(now - this->refilled).count();
    this->lines = std::min(kBurstLines, this->lines + seconds * kLinesPerSecond);
    this->refilled = now;
    if (this->lines < 1 + (aImportant ? 0 : kReservedForFaults)) {
      ++this->dropped;
      return false;
    }
    this->lines -= 1;
    return true;
  }

  /// \return number of lines dropped since the last call
  std::uint64_t TakeDropped()
  {
    const std::uint64_t count = this->dropped;
    this->dropped = 0;
    return count;
  }

private:
  static constexpr double kLinesPerSecond = 150; // about 30 KB a second
  static constexpr double kBurstLines = 300;
  static constexpr double kReservedForFaults = 150;

  const IClock& clock;
  TimePoint refilled;
  double lines = kBurstLines;
  std::uint64_t dropped = 0;
};

} // namespace yp

#endif
