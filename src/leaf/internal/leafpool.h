#ifndef YP_LEAF_INTERNAL_LEAFPOOL_H
#define YP_LEAF_INTERNAL_LEAFPOOL_H

#include "leaf/ileafpools.h"
#include "leaf/internal/leafgroup.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace yp {

/// Counters of one pool, readable by any thread.
struct AtomicCounters
{
  std::atomic<std::uint64_t> written{ 0 };
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<std::uint64_t> cancelled{ 0 };
  std::atomic<std::uint64_t> opened{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
  std::atomic<std::uint64_t> discarded{ 0 };
  std::atomic<std::int64_t> open{ 0 };
  std::atomic<std::uint64_t> crossThreadPosts{ 0 };
};

/// The part of the pools that belongs to one thread: the connections that it owns and the transport for its
/// queries. A pool passes an attempt to the pool that owns the connections to the leaf.
class LeafPool final : public ILeafTransport
{
public:
  LeafPool(std::size_t aIndex,
           boost::asio::io_context& aContext,
           const IClock& aClock,
           const LeafPoolSettings& aSettings);

  /// Sets the pools of all threads, including this one, in the order of their threads.
  void SetPeers(const std::vector<std::unique_ptr<LeafPool>>& aPools);

  void Send(LeafAttempt aAttempt, Handler aHandler) override;
  void Cancel(std::uint64_t aAttempt) override;

  /// Applies the shares of the leafs that this thread owns. Must be called on this pool's thread.
  void ApplyShares(const std::vector<LeafShare>& aShares);

  /// Closes all connections and ends all attempts. Must be called on this pool's thread.
  void Stop();

  /// \return index of the pool that owns the connections to a leaf
  static std::size_t OwnerOf(std::uint64_t aLeafHash, std::size_t aPools) { return aLeafHash % aPools; }
  static std::uint64_t HashOf(const std::string& aService, const std::string& aLeaf)
  {
    return Hash64(aLeaf, Hash64(aService));
  }

  // Used by the groups and connections of this pool.
  boost::asio::io_context& Context() { return this->context; }
  TimerQueue& Timers() { return this->timers; }
  const LeafPoolSettings& Settings() const { return this->settings; }
  AtomicCounters& Counters() { return this->counters; }
  const AtomicCounters& Counters() const { return this->counters; }
  TimePoint Now() const { return this->clock.Now(); }
  Duration Jitter(Duration aDelay);

  /// Passes a reply to the thread that sent the attempt, and releases the attempt.
  void Finish(Attempt& aAttempt, LeafReply aReply);
  void FinishNotRun(Attempt& aAttempt, NotRunReason aReason, const char* aDetail);

  /// Ends an attempt whose deadline or time in the queue has passed.
  /// \return whether the attempt was ended
  bool FinishIfExpired(Attempt& aAttempt, TimePoint aNow);

  /// Starts an attempt again of which nothing was written, unless it is cancelled or expired.
  void Requeue(Attempt& aAttempt);

  /// Handles the expired timer of an attempt.
  void OnAttemptTimer(Attempt& aAttempt);

  /// Reserves one of the thread's concurrent connects for a group.
  /// \return whether one was free; if not, the group is adjusted once one becomes free
  bool TryReserveConnect(LeafGroup& aGroup);
  void OnConnectFinished();

  /// Posts a call of LeafGroup::Adjust, so that it does not run within the caller.
  void AdjustLater(LeafGroup& aGroup);

private:
  /// Messages from one thread to another.
  struct Batch
  {
    std::vector<std::unique_ptr<Attempt>> starts;
    std::vector<std::uint64_t> cancels;
    std::vector<LeafReply> replies;

    bool Empty() const { return this->starts.empty() && this->cancels.empty() && this->replies.empty(); }
    void Clear();
    void Append(Batch& aOther);
  };

  struct Outstanding
  {
    std::size_t owner = 0;
    Handler handler;
  };

  std::unique_ptr<Attempt> NewAttempt();
  void Recycle(std::unique_ptr<Attempt> aAttempt);
  void ScheduleFlush();
  void Flush();
  void Receive(Batch& aBatch);
  void Drain();
  void Process(Batch& aBatch);
  void StartLocally(std::unique_ptr<Attempt> aAttempt);
  void CancelLocally(std::uint64_t aAttempt);
  void CancelOnWire(Attempt& aAttempt, const char* aDetail, ErrorCode aCode);
  void Deliver(LeafReply aReply);
  LeafGroup* FindGroup(std::uint64_t aHash, const std::string& aService, const std::string& aLeaf);
  void RemoveUnusedGroups();

  const std::size_t index;
  boost::asio::io_context& context;
  const IClock& clock;
  const LeafPoolSettings& settings;
  SeededRandom random;
  TimerQueue timers;
  AtomicCounters counters;
  std::vector<LeafPool*> pools;

  // Attempts sent by the queries of this thread.
  boost::unordered_flat_map<std::uint64_t, Outstanding> outstanding;

  // Connections that this thread owns, and the attempts to their leafs.
  std::unordered_multimap<std::uint64_t, std::unique_ptr<LeafGroup>> groups;
  boost::unordered_flat_map<std::uint64_t, std::unique_ptr<Attempt>> attempts;
  std::vector<std::unique_ptr<Attempt>> spareAttempts;
  std::size_t connecting = 0;
  std::deque<LeafGroup*> waitingToConnect;
  std::vector<LeafGroup*> toAdjust;
  bool adjustScheduled = false;
  bool stopped = false;

  // Messages between threads.
  std::vector<Batch> outboxes; ///< one per target thread; used by this thread only
  bool flushScheduled = false;
  std::mutex inboxMutex;
  Batch inbox;                 ///< guarded by inboxMutex
  bool drainScheduled = false; ///< guarded by inboxMutex
  Batch scratch;               ///< batch being processed
};

} // namespace yp

#endif
