#ifndef YP_LEAF_LEAFTYPES_H
#define YP_LEAF_LEAFTYPES_H

#include "framework/global/global.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace yp {

/// Limits and delays of the connection pools.
struct LeafPoolSettings
{
  std::string requestIdPrefix = "0"; ///< distinguishes this process in Yp-Request-Id; letters and digits
  std::uint64_t seed = 1;            ///< of the jitter
  Duration cancelTimeout = std::chrono::milliseconds(200);    ///< wait for the replies to a cancelled request
  Duration connectTimeout = std::chrono::seconds(1);          ///< longer counts as a failed connect
  Duration refusalPenaltyDuration = std::chrono::seconds(10); ///< how long a refusal halves a share
  Duration reopenDelayMin = std::chrono::milliseconds(50);    ///< first delay after a failed connection
  Duration reopenDelayMax = std::chrono::seconds(5);
  std::size_t maxConnectingPerLeaf = 2;    ///< connects under way at a time to one leaf
  std::size_t maxConnectingPerThread = 64; ///< connects under way at a time in one thread
  std::size_t maxReplyBytes = 1024 * 1024;
};

/// Totals of all threads since the start.
struct LeafPoolCounters
{
  std::uint64_t written = 0;          ///< requests of which at least a byte was written
  std::uint64_t answered = 0;         ///< attempts that ended as kAnswered
  std::uint64_t notRun = 0;           ///< attempts that ended as kNotRun
  std::uint64_t unknown = 0;          ///< attempts that ended as kUnknown
  std::uint64_t cancelled = 0;        ///< DELETE requests written
  std::uint64_t opened = 0;           ///< connections established
  std::uint64_t refused = 0;          ///< refused connections and failed connects
  std::uint64_t discarded = 0;        ///< replies that did not match or were malformed
  std::int64_t open = 0;              ///< connections open now
  std::uint64_t crossThreadPosts = 0; ///< posts between threads
};

} // namespace yp

#endif
