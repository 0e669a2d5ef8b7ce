#ifndef YP_QUERY_INTERNAL_ATTEMPTSENDER_H
#define YP_QUERY_INTERNAL_ATTEMPTSENDER_H

#include "query/internal/querynode.h"
#include "query/internal/serviceplan.h"
#include <unordered_map>

namespace yp {

/// Where an attempt goes.
struct AttemptTarget
{
  Ref<ServicePlan> plan;
  LayoutId layout = 0;
  ShardPlan* shard = nullptr; ///< points into plan
  std::size_t replica = 0;    ///< index into shard
};

/// Sends attempts and records in the leafs' health what became of them.
class AttemptSender
{
public:
  /// Called once an attempt, never from within Send. A reply that is not of this attempt's id, layout and
  /// shard arrives as kUnknown.
  using Done = std::function<void(const AttemptTarget&, std::uint64_t, const LeafReply&)>;

  AttemptSender(QueryNode& aNode, ILeafTransport& aTransport, ITimers& aTimers, const IClock& aClock);
  ~AttemptSender();
  AttemptSender(const AttemptSender&) = delete;
  AttemptSender& operator=(const AttemptSender&) = delete;

  /// \param aAttempt its id, service and leaf are filled in here
  /// \return id of the attempt
  std::uint64_t Send(AttemptTarget aTarget, LeafAttempt aAttempt, Done aDone);

  /// Cancels an attempt and drops its Done. Its end still counts in the leaf's health.
  void Cancel(std::uint64_t aAttempt);

  /// Cancels an attempt at a time if it has not ended; its Done still runs. Bounds the wait for a leaf that
  /// never replies.
  void CancelAt(std::uint64_t aAttempt, TimePoint aWhen);

  /// Sets the function that is called when a leaf of a shard with waiters has room again. It returns whether
  /// it made use of the room.
  void OnRoom(std::function<bool(const Waiter&)> aFunction) { this->onRoom = std::move(aFunction); }

private:
  struct Attempt
  {
    AttemptTarget target;
    TimePoint sent;
    Done done;
    bool cancelled = false;
  };

  void OnReply(std::uint64_t aId, LeafReply aReply);
  void Check(const Attempt& aAttempt, std::uint64_t aId, LeafReply& aReply);
  void Record(const Attempt& aAttempt, const LeafReply& aReply);
  void WakeOne(ShardPlan& aShard);

  QueryNode& node;
  ILeafTransport& transport;
  ITimers& timers;
  const IClock& clock;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  std::function<bool(const Waiter&)> onRoom;
  std::shared_ptr<AttemptSender*> self; ///< replies that come after the destructor find it expired
};

} // namespace yp

#endif
