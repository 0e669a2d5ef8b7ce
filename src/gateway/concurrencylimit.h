#ifndef YP_GATEWAY_CONCURRENCYLIMIT_H
#define YP_GATEWAY_CONCURRENCYLIMIT_H

#include "framework/global/global.h"

namespace yp {

/// A call or query that shows that there is more work than can be done in time.
struct CongestedCall
{
  TimePoint sentAt;
  Duration elapsed{ 0 };       ///< zero when the leaf refused it
  Duration latencyTarget{ 0 }; ///< time within which its answer would have had its full value
  std::size_t inFlight = 0;    ///< calls at the leaf, with this one
};

/// Bounds the calls that this node has in flight at one leaf, or the queries of one route, to what ends in
/// time. The window shrinks with each call that was refused or came too late and grows with each that came in
/// time. Other nodes use the leaf too, so it may be less than one call; then calls are spaced out. Without a
/// call that was too late there is no bound.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double minInitialWindow = 2; ///< least window to begin with; one late call says little
    double minWindow = 0.02;     ///< one call in 5 s at a leaf that takes 100 ms
    double maxWindow = 4;        ///< no bound from there on; more than a node has at a healthy leaf
  };

  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(const Options& aOptions);

  /// A call was sent.
  void OnSend(TimePoint aNow);

  /// A call was answered while its answer was still of full value.
  void OnInTime(Duration aElapsed);

  /// A call was refused for lack of room, or its answer came too late or not at all. Calls sent before the
  /// last one that counted do not count again.
  void OnCongested(const CongestedCall& aCall, TimePoint aNow);

  /// \return whether one more call may be sent
  bool Admits(std::size_t aInFlight, TimePoint aNow) const;

  /// \return whether there is a bound now
  bool Bounded() const { return this->bounded; }

  /// \return moving average of the time to an answer
  Duration AverageElapsed() const;

  /// \return whether this node's part of the leaf is less than one call at a time
  bool BelowOneCall() const { return this->bounded && this->window < 1; }

  /// \return calls in flight that are allowed while there is a bound
  double Window() const { return this->window; }

private:
  void AddElapsed(Duration aElapsed);
  double CurrentWindow(TimePoint aNow) const;

  Options options;
  bool bounded = false;
  double congestionScore = 0; ///< late calls, less those forgiven
  double window = 0;
  double averageElapsedMs = 0; ///< moving average of the time to an answer
  TimePoint congestedAt;       ///< last congested call that counted
  TimePoint lastSend;
};

} // namespace yp

#endif
