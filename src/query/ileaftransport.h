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
  std::optional<IndexVersion> indexVersion; ///< wanted; none = newest
  std::string body;                         ///< JSON
  TimePoint deadline;                       ///< not written after it
  TimePoint queueUntil;                     ///< latest time to wait for a free connection
};

enum class AttemptStatus
{
  kAnswered,
  kNotRun, ///< certain that the leaf did not run it
  kUnknown ///< at least a byte was written, and no complete, matching reply came
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

/// What a leaf or the transport says of an attempt.
struct LeafReply
{
  std::uint64_t id = 0;
  AttemptStatus status = AttemptStatus::kNotRun;
  NotRunReason reason = NotRunReason::kNone;
  bool fromLeaf = false;          ///< the leaf itself replied, so that the fields below are known
  std::optional<LayoutId> layout; ///< echoed by the leaf; checked at the merge when present
  std::optional<ShardId> shard;   ///< echoed by the leaf; checked at the merge when present
  IndexVersion indexVersion = 0;
  std::vector<IndexVersion> versions; ///< servable now
  std::uint32_t busySlots = 0;
  std::uint32_t slots = 0;
  bool draining = false;
  std::string body;
  Duration elapsed{ 0 }; ///< from the write to the reply
  Error error;           ///< for kUnknown and failed connections: step and peer
};

/// Sends attempts to leafs. One object a request thread; handlers run on that thread, exactly once an
/// attempt, never from within Send.
class ILeafTransport
{
public:
  using Handler = std::function<void(LeafReply)>;

  virtual ~ILeafTransport() = default;

  /// Starts an attempt.
  virtual void Send(LeafAttempt aAttempt, Handler aHandler) = 0;

  /// Cancels an attempt; its handler still runs, with what is known by then.
  virtual void Cancel(std::uint64_t aAttempt) = 0;
};

} // namespace yp

#endif
