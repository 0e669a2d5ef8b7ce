#ifndef YP_QUERY_ILEAFTRANSPORT_H
#define YP_QUERY_ILEAFTRANSPORT_H

#include "query/querytypes.h"
#include <functional>
#include <optional>

namespace yp {

/// One attempt to run a request at one leaf.
struct LeafAttempt
{
  std::uint64_t id = 0;                     ///< unique within the process; never reused
  Ref<const ServiceSpec> service;           ///< keeps the leaf alive
  const LeafSpec* leaf = nullptr;           ///< points into service
  bool execute = false;                     ///< non-idempotent
  std::optional<IndexVersion> indexVersion; ///< version to search; none: the newest
  std::string body;                         ///< JSON
  TimePoint deadline;                       ///< the request is not written to the leaf after this time
  TimePoint queueUntil;                     ///< latest time to wait for a free connection
};

enum class AttemptStatus
{
  kAnswered,
  kNotRun, ///< the leaf certainly did not run it
  kUnknown ///< at least one byte was written, but no complete, matching reply was received
};

/// Why an attempt was not run.
enum class NotRunReason
{
  kNone,
  kShed,
  kDraining,
  kConnectionLimit, ///< refused: over the leaf's connection limit
  kCold,
  kVersionNotServed,
  kDeadline,
  kCancelled,
  kConnectFailed,   ///< the connection could not be opened
  kNoFreeConnection ///< no connection became free in time
};

/// Result of an attempt, from the leaf or the transport.
struct LeafReply
{
  std::uint64_t id = 0;
  AttemptStatus status = AttemptStatus::kNotRun;
  NotRunReason reason = NotRunReason::kNone;
  bool fromLeaf = false;          ///< the leaf itself replied, so the fields below are set
  std::optional<LayoutId> layout; ///< echoed by the leaf; checked at the merge when present
  std::optional<ShardId> shard;   ///< echoed by the leaf; checked at the merge when present
  IndexVersion indexVersion = 0;
  std::vector<IndexVersion> versions; ///< versions that the leaf can serve now
  std::uint32_t busySlots = 0;
  std::uint32_t slots = 0;
  bool draining = false;
  std::string body;
  Duration elapsed{ 0 }; ///< from the write to the reply
  Error error;           ///< for kUnknown and failed connections: the failed step and the peer
};

/// Sends attempts to leafs. Each request thread has its own object. A handler runs on that thread, exactly
/// once per attempt, and never from within Send.
class ILeafTransport
{
public:
  using Handler = std::function<void(LeafReply)>;

  virtual ~ILeafTransport() = default;

  /// Starts an attempt.
  virtual void Send(LeafAttempt aAttempt, Handler aHandler) = 0;

  /// Cancels an attempt; its handler still runs, with the result known at that time.
  virtual void Cancel(std::uint64_t aAttempt) = 0;
};

} // namespace yp

#endif
