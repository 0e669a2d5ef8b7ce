#ifndef YP_QUERY_INTERNAL_CONCURRENCYLIMIT_H
#define YP_QUERY_INTERNAL_CONCURRENCYLIMIT_H

#include "framework/global/global.h"
#include <atomic>

namespace yp {

/// Adaptive number of attempts in flight at one leaf: additive increase while the limit is used,
/// multiplicative decrease on shed replies and on latency growth. Thread-safe.
class ConcurrencyLimit
{
public:
  /// \param aSlots slots of the leaf; also the initial limit
  /// \param aFactor maximum limit, in multiples of the slots
  ConcurrencyLimit(std::uint32_t aSlots, std::uint32_t aFactor);

  /// \return attempts that may be in flight; at least 1
  std::uint32_t Limit() const { return this->limitMilli.load(std::memory_order_relaxed) / kMilliPerAttempt; }

  /// Updates the limit after an answered attempt.
  /// \param aInFlight attempts in flight, including this one
  void OnAnswer(Duration aLatency, std::uint32_t aInFlight, TimePoint aNow);

  /// Lowers the limit after a shed attempt or a refused connection.
  void OnShed(TimePoint aNow) { this->Decrease(700, kMilliPerAttempt, aNow); }

private:
  static constexpr std::uint32_t kMilliPerAttempt = 1000;

  void Decrease(std::uint32_t aPerMille, std::uint32_t aFloor, TimePoint aNow);

  const std::uint32_t maximum;
  /// Latency growth does not lower the limit below the number of slots, because leaving slots of a slow leaf
  /// empty does not make it faster.
  const std::uint32_t initialLimit;
  std::atomic<std::uint32_t> limitMilli;
  std::atomic<std::int64_t> recent{ 0 };   ///< EWMA over about 10 answers, ns
  std::atomic<std::int64_t> baseline{ 0 }; ///< EWMA over about 200 answers, ns
  std::atomic<std::int64_t> holdUntil{ 0 };
};

} // namespace yp

#endif
