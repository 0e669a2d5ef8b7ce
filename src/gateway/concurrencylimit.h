#ifndef YP_GATEWAY_CONCURRENCYLIMIT_H
#define YP_GATEWAY_CONCURRENCYLIMIT_H

#include "framework/global/global.h"

namespace yp {

/// A call or query that was refused or finished after its latency target, a sign of overload.
struct CongestedCall
{
  TimePoint sentAt;
  Duration elapsed{ 0 };       ///< zero when the leaf refused the call
  Duration latencyTarget{ 0 }; ///< an answer within this time has its full value
  std::size_t inFlight = 0;    ///< calls in flight at the leaf, including this one
};

/// Limits the calls that this node has in flight at one leaf, or the queries of one route, to the number that
/// finishes within the latency target. The window shrinks with each call that is refused or late and grows
/// with each call that is answered in time. Because other nodes use the same leaf, the window may be smaller
/// than one call; calls are then spaced out in time. There is no bound until calls are late.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double minInitialWindow = 2; ///< smallest window when a bound begins; one late call is weak evidence
    double minWindow = 0.02;     ///< calls; one call every 5 s at a leaf that takes 100 ms
    double maxWindow =
      4; ///< calls; the bound is lifted at this window, which a node does not reach at a healthy leaf
  };

  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(const Options& aOptions);

  /// Records that a call was sent.
  void OnSend(TimePoint aNow);

  /// Records an answer within the latency target.
  void OnInTime(Duration aElapsed);

  /// Records a call that was refused for lack of capacity, or whose answer was late or missing. A call that
  /// was sent before the last counted congestion is not counted again.
  void OnCongested(const CongestedCall& aCall, TimePoint aNow);

  /// \return whether one more call may be sent
  bool Admits(std::size_t aInFlight, TimePoint aNow) const;

  /// \return whether the number of calls is limited now
  bool Bounded() const { return this->bounded; }

  /// \return moving average of the time until a call is answered, found late or given up; zero before the
  /// first
  Duration AverageElapsed() const;

  /// \return whether the window is smaller than one call
  bool BelowOneCall() const { return this->bounded && this->window < 1; }

  /// \return calls that may be in flight while there is a bound
  double Window() const { return this->window; }

private:
  void AddElapsed(Duration aElapsed);
  double CurrentWindow(TimePoint aNow) const;

  Options options;
  bool bounded = false;
  double congestionScore = 0; ///< counted congested calls, reduced by each answer in time
  double window = 0;
  double averageElapsedMs = 0; ///< see AverageElapsed
  TimePoint congestedAt;       ///< time of the last counted congestion
  TimePoint lastSend;
};

} // namespace yp

#endif
