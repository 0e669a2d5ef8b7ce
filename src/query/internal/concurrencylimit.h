#ifndef YP_QUERY_INTERNAL_CONCURRENCYLIMIT_H
#define YP_QUERY_INTERNAL_CONCURRENCYLIMIT_H

#include "framework/global/global.h"
#include <atomic>

namespace yp {

/// Adaptive number of attempts in flight at one leaf: additive increase while it is used, multiplicative
/// decrease on shed replies and on latency growth. Thread-safe.
class ConcurrencyLimit
{
public:
  /// \param aSlots slots of the leaf; the limit starts there
  /// \param aFactor largest limit, in multiples of the slots
  ConcurrencyLimit(std::uint32_t aSlots, std::uint32_t aFactor);

  /// \return attempts that may be in flight; at least 1
  std::uint32_t Limit() const { return this->milli.load(std::memory_order_relaxed) / kUnit; }

  /// Takes an attempt's success into account.
  /// \param aInFlight attempts in flight, this one included
  void OnAnswer(Duration aLatency, std::uint32_t aInFlight, TimePoint aNow);

  /// Takes a shed or connection refusal into account.
  void OnShed(TimePoint aNow) { this->Decrease(700, kUnit, aNow); }

private:
  static constexpr std::uint32_t kUnit = 1000;

  void Decrease(std::uint32_t aPerMille, std::uint32_t aFloor, TimePoint aNow);

  const std::uint32_t maximum;
  /// Growth of latency does not reduce the limit below the slots: a leaf that is slow with all slots in use
  /// is not relieved by leaving some empty.
  const std::uint32_t start;
  std::atomic<std::uint32_t> milli;
  std::atomic<std::int64_t> recent{ 0 };   ///< EWMA over about 10 answers, ns
  std::atomic<std::int64_t> baseline{ 0 }; ///< EWMA over about 200 answers, ns
  std::atomic<std::int64_t> holdUntil{ 0 };
};

} // namespace yp

#endif
