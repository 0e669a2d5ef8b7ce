#ifndef YP_QUERY_INTERNAL_LOADSHEDDER_H
#define YP_QUERY_INTERNAL_LOADSHEDDER_H

#include "framework/global/global.h"
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace yp {

/// Bounds the requests in flight of a node and divides them among callers by share. Thread-safe.
class LoadShedder
{
public:
  LoadShedder(std::uint32_t aLimit, double aSoftFraction)
    : maximum(aLimit)
    , limit(aLimit)
    , softFraction(aSoftFraction)
  {
  }

  /// \param aShare relative share of the caller, more than 0
  /// \return whether the request may run; Release must follow
  bool TryAdmit(const std::string& aCaller, double aShare, TimePoint aNow);

  void Release(const std::string& aCaller);

  /// Adapts the limit to what the leafs can serve.
  /// \param aQueued whether parts of an ended lookup had to wait long for room at their leafs
  void OnEnd(bool aQueued, TimePoint aNow);

  /// \return requests that may be in flight now
  double Limit();

private:
  struct Load
  {
    std::uint32_t inFlight = 0;
    double share = 1;
    TimePoint lastDemand;
  };

  /// \return sum of the shares of the callers that want capacity now
  double ActiveShares(TimePoint aNow);

  std::mutex mutex;
  const double maximum;
  double limit;
  TimePoint nextDecrease;
  const double softFraction;
  std::uint32_t total = 0;
  std::unordered_map<std::string, Load> callers; ///< those with requests in flight or recent demand
};

} // namespace yp

#endif
