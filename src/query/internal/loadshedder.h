#ifndef YP_QUERY_INTERNAL_LOADSHEDDER_H
#define YP_QUERY_INTERNAL_LOADSHEDDER_H

#include "framework/global/global.h"
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace yp {

/// Limits the requests in flight at a node and divides them among callers by share. Thread-safe.
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
  /// \return whether the request is admitted; if so, Release must be called when it ends
  bool TryAdmit(const std::string& aCaller, double aShare, TimePoint aNow);

  void Release(const std::string& aCaller);

  /// Adapts the limit to the capacity of the leafs. Called when a lookup ends.
  /// \param aQueued whether many parts of the lookup waited long for capacity at their leafs
  void OnLookupEnd(bool aQueued, TimePoint aNow);

  /// \return maximum number of requests in flight
  double Limit();

private:
  struct Load
  {
    std::uint32_t inFlight = 0;
    double share = 1;
    TimePoint lastDemand;
  };

  /// \return sum of the shares of the callers with requests in flight or recent demand
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
