#ifndef YP_LEAF_LEAFTYPES_H
#define YP_LEAF_LEAFTYPES_H

#include "framework/global/global.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace yp {

/// Limits and delays of the leaf connection pools.
struct LeafPoolSettings
{
  std::string requestIdPrefix = "0"; ///< identifies this process in Yp-Request-Id; letters and digits
  std::uint64_t seed = 1;            ///< seed of the jitter on reconnect delays
  Duration cancelTimeout =
    std::chrono::milliseconds(200);                  ///< maximum wait for the replies after a cancellation
  Duration connectTimeout = std::chrono::seconds(1); ///< a connect that takes longer counts as failed
  Duration refusalPenaltyDuration = std::chrono::seconds(10); ///< time for which a refusal halves the share
  Duration reopenDelayMin =
    std::chrono::milliseconds(50); ///< initial delay before connecting again after a failure
  Duration reopenDelayMax =
    std::chrono::seconds(5);               ///< upper limit of the delay, which doubles with each failure
  std::size_t maxConnectingPerLeaf = 2;    ///< concurrent connects to one leaf
  std::size_t maxConnectingPerThread = 64; ///< concurrent connects of one thread
  std::size_t maxReplyBytes = 1024 * 1024;
};

/// Totals of all threads since the process started.
struct LeafPoolCounters
{
  std::uint64_t written = 0;   ///< requests of which at least one byte was written
  std::uint64_t answered = 0;  ///< attempts that ended as kAnswered
  std::uint64_t notRun = 0;    ///< attempts that ended as kNotRun
  std::uint64_t unknown = 0;   ///< attempts that ended as kUnknown
  std::uint64_t cancelled = 0; ///< DELETE requests written
  std::uint64_t opened = 0;    ///< connections established
  std::uint64_t refused =
    0; ///< refused connections, failed connects and connections that end before their first reply
  std::uint64_t discarded = 0;        ///< replies that were malformed or did not match their request
  std::int64_t open = 0;              ///< connections open or connecting now
  std::uint64_t crossThreadPosts = 0; ///< batches of messages posted from one thread to another
};

} // namespace yp

#endif
