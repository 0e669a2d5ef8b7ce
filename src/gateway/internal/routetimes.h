#ifndef YP_GATEWAY_INTERNAL_ROUTETIMES_H
#define YP_GATEWAY_INTERNAL_ROUTETIMES_H

#include "framework/global/global.h"
#include <algorithm>

namespace yp {

/// Moving estimates of how long leafs take for the requests of a route.
class RouteTimes : public RefCounted<RouteTimes>
{
public:
  /// \param aObjective time to the answer that the route aims at
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

  /// \return the median
  Duration Typical() const { return this->typical; }

  /// \return the time within which 9 in 10 requests are answered
  Duration High() const { return this->high; }

  /// Notes how long a caller waits, and estimates how long it has waited before: an attempt after a failed
  /// one carries what is left of the first one's time. \return time since the caller's first attempt
  Duration NotePatience(Duration aPatience, TimePoint aNow)
  {
    if (aPatience >= this->patience || aNow - this->patienceAt > kPatienceMemory) {
      this->patience = aPatience;
      this->patienceAt = aNow;
    }
    return this->patience - aPatience;
  }

private:
  static constexpr double kMedian = 0.5;
  static constexpr double kHighQuantile = 0.9;
  static constexpr double kStep = 0.05; // part of the estimate that one sample moves at most
  static constexpr int kObjectivePart = 6;
  static constexpr Duration kSmallest = std::chrono::microseconds(100);
  static constexpr Duration kPatienceMemory = std::chrono::seconds(10);

  static Duration Move(Duration aEstimate, Duration aSample, double aQuantile)
  {
    const double factor = aSample > aEstimate ? kStep * aQuantile : -kStep * (1 - aQuantile);
    const double moved = static_cast<double>(aEstimate.count()) * (1 + factor);
    return std::max<Duration>(kSmallest, Duration(static_cast<Duration::rep>(moved)));
  }

  Duration typical;
  Duration high;
  Duration patience{ 0 };
  TimePoint patienceAt;
};

} // namespace yp

#endif
