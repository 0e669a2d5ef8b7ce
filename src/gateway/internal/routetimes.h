#ifndef YP_GATEWAY_INTERNAL_ROUTETIMES_H
#define YP_GATEWAY_INTERNAL_ROUTETIMES_H

#include "framework/global/global.h"
#include <algorithm>

namespace yp {

/// Moving estimates of the time that leafs need for the requests of a route.
class RouteTimes : public RefCounted<RouteTimes>
{
public:
  /// \param aObjective latency objective of the route
  explicit RouteTimes(Duration aObjective)
    : typical(std::max<Duration>(kSmallest, aObjective / kObjectivePart))
    , high(this->typical * 2)
  {
  }

  void Add(Duration aElapsed)
  {
    this->typical = Move(this->typical, aElapsed, kMedian);
    this->high = std::max(this->typical, Move(this->high, aElapsed, kHighQuantile));
  }

  /// \return estimate of the median
  Duration Typical() const { return this->typical; }

  /// \return estimate of the 90th percentile
  Duration High() const { return this->high; }

  /// Records the time budget of an attempt. A repeated attempt has only the rest of the first one's budget.
  /// \return estimated time since the caller's first attempt
  Duration RecordTimeBudget(Duration aTimeBudget, TimePoint aNow)
  {
    if (aTimeBudget >= this->timeBudget || aNow - this->timeBudgetAt > kTimeBudgetRetention) {
      this->timeBudget = aTimeBudget;
      this->timeBudgetAt = aNow;
    }
    return this->timeBudget - aTimeBudget;
  }

private:
  static constexpr double kMedian = 0.5;
  static constexpr double kHighQuantile = 0.9;
  static constexpr double kStep = 0.05; // bound of an estimate's relative change by one sample
  static constexpr int kObjectivePart = 6;
  static constexpr Duration kSmallest = std::chrono::microseconds(100);
  static constexpr Duration kTimeBudgetRetention = std::chrono::seconds(10);

  static Duration Move(Duration aEstimate, Duration aSample, double aQuantile)
  {
    const double factor = aSample > aEstimate ? kStep * aQuantile : -kStep * (1 - aQuantile);
    const double moved = static_cast<double>(aEstimate.count()) * (1 + factor);
    return std::max<Duration>(kSmallest, Duration(static_cast<Duration::rep>(moved)));
  }

  Duration typical;
  Duration high;
  Duration timeBudget{ 0 };
  TimePoint timeBudgetAt;
};

} // namespace yp

#endif
