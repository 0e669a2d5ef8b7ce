#ifndef YP_QUERY_INTERNAL_EXTRALOADBUDGET_H
#define YP_QUERY_INTERNAL_EXTRALOADBUDGET_H

#include "framework/global/global.h"
#include <array>
#include <mutex>

namespace yp {

/// Limits the sum of hedges, retries and probes to a percentage of the first attempts. Thread-safe.
class ExtraLoadBudget
{
public:
  /// Counts first attempts and refills the token bucket.
  /// \param aPercent extra attempts allowed per hundred first attempts; capped at 10
  void AddFirst(std::uint32_t aCount, double aPercent, TimePoint aNow);

  /// Takes one extra attempt from the token bucket.
  /// \return whether it may be sent
  bool TrySpend(TimePoint aNow);

private:
  static constexpr std::size_t kWindowSeconds = 3;

  struct Second
  {
    std::int64_t number = -1;
    double first = 0;
    double extra = 0;
  };

  Second& Current(TimePoint aNow);

  std::mutex mutex;
  double tokens = 1;
  std::array<Second, kWindowSeconds> seconds;
};

} // namespace yp

#endif
