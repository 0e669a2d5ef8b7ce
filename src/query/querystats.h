#ifndef YP_QUERY_QUERYSTATS_H
#define YP_QUERY_QUERYSTATS_H

#include "query/querytypes.h"
#include <array>
#include <atomic>

namespace yp {

constexpr std::size_t kRequestReasonCount = static_cast<std::size_t>(RequestReason::kVersionChanged) + 1;
constexpr std::size_t kRequestOutcomeCount = 3;

/// Query counters of a node, shared by its request threads. Each counter is monotonic.
struct QueryStats
{
  std::atomic<std::uint64_t> lookups{ 0 };
  std::atomic<std::uint64_t> executes{ 0 };
  std::atomic<std::uint64_t> firstAttempts{ 0 };
  std::atomic<std::uint64_t> hedges{ 0 };
  std::atomic<std::uint64_t> hedgesSuppressed{ 0 }; ///< due, but not allowed by budget or load
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> unbudgetedRetries{ 0 }; ///< after a refusal that cost the leaf no slot
  std::atomic<std::uint64_t> probes{ 0 };
  std::atomic<std::uint64_t> sheds{ 0 }; ///< requests refused by this node
  std::atomic<std::uint64_t> leafSheds{ 0 };
  std::atomic<std::uint64_t> replans{ 0 };
  std::atomic<std::uint64_t> droppedReplies{ 0 };    ///< late or duplicate replies
  std::atomic<std::uint64_t> mismatchedReplies{ 0 }; ///< replies of another layout, shard or version
  std::atomic<std::uint64_t> cancelledAttempts{ 0 };
  std::atomic<std::uint64_t> partialAnswers{ 0 }; ///< answered with less than full coverage
  std::array<std::array<std::atomic<std::uint64_t>, kRequestReasonCount>, kRequestOutcomeCount> outcomes{};
  LatencyCounts latency; ///< of answered requests

  /// Counts one answer.
  void RecordAnswer(const RequestAnswer& aAnswer, Duration aElapsed);
};

} // namespace yp

#endif
