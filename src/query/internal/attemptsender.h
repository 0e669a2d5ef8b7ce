#ifndef YP_QUERY_INTERNAL_ATTEMPTSENDER_H
#define YP_QUERY_INTERNAL_ATTEMPTSENDER_H

#include "query/internal/querynode.h"
#include "query/internal/serviceplan.h"
#include <unordered_map>

namespace yp {

/// Leaf that an attempt is sent to.
struct AttemptTarget
{
  Ref<ServicePlan> plan;
  LayoutId layout = 0;
  ShardPlan* shard = nullptr; ///< points into plan
  std::size_t replica = 0;    ///< index into shard
};

/// Sends attempts and records their results in the health of the leafs.
class AttemptSender
{
public:
  /// Called once per attempt, never from within Send. A reply with another id, layout or shard than the
  /// attempt is reported as kUnknown.
  using Done = std::function<void(const AttemptTarget&, std::uint64_t, const LeafReply&)>;

  AttemptSender(QueryNode& aNode, ILeafTransport& aTransport, ITimers& aTimers, const IClock& aClock);
  ~AttemptSender();
  AttemptSender(const AttemptSender&) = delete;
  AttemptSender& operator=(const AttemptSender&) = delete;

  /// \param aAttempt its id, service and leaf are set by this method
  /// \return id of the attempt
  std::uint64_t Send(AttemptTarget aTarget, LeafAttempt aAttempt, Done aDone);

  /// Cancels an attempt and drops its Done callback. Its end still counts in the leaf's health.
  void Cancel(std::uint64_t aAttempt);

  /// Cancels an attempt at the given time unless it has ended; its Done callback still runs. Limits the wait
  /// for a leaf that never replies.
  void CancelAt(std::uint64_t aAttempt, TimePoint aWhen);

  /// Sets the function that is called when a leaf of a shard with waiters has capacity again. It returns
  /// whether it used the capacity.
  void SetCapacityHandler(std::function<bool(const Waiter&)> aFunction)
  {
    this->onCapacity = std::move(aFunction);
  }

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
  std::function<bool(const Waiter&)> onCapacity;
  std::shared_ptr<AttemptSender*> self; ///< expires with this object, so that later replies are ignored
};

} // namespace yp

#endif
