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

/// Totals that any thread may read.
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

/// One thread's part of the pools: the connections that it owns, and the transport for its queries.
class LeafPool final : public ILeafTransport
{
public:
  LeafPool(std::size_t aIndex,
           boost::asio::io_context& aContext,
           const IClock& aClock,
           const LeafPoolSettings& aSettings);

  /// Tells the pool of the others, itself included, in the order of their threads.
  void SetPeers(const std::vector<std::unique_ptr<LeafPool>>& aPools);

  void Send(LeafAttempt aAttempt, Handler aHandler) override;
  void Cancel(std::uint64_t aAttempt) override;

  /// Takes over the shares of the leafs that belong to this thread. Only on this pool's thread.
  void ApplyShares(const std::vector<LeafShare>& aShares);

  /// Closes everything. Only on this pool's thread.
  void Stop();

  /// The pool that owns a leaf's connections.
  static std::size_t OwnerOf(std::uint64_t aLeafHash, std::size_t aPools) { return aLeafHash % aPools; }
  static std::uint64_t HashOf(const std::string& aService, const std::string& aLeaf)
  {
    return Hash64(aLeaf, Hash64(aService));
  }

  // For the pool's groups and connections.
  boost::asio::io_context& Context() { return this->context; }
  TimerQueue& Timers() { return this->timers; }
  const LeafPoolSettings& Settings() const { return this->settings; }
  AtomicCounters& Counters() { return this->counters; }
  const AtomicCounters& Counters() const { return this->counters; }
  TimePoint Now() const { return this->clock.Now(); }
  Duration Jitter(Duration aDelay);

  /// Hands a reply to the thread that sent the attempt, and releases the attempt.
  void Finish(Attempt& aAttempt, LeafReply aReply);
  void FinishNotRun(Attempt& aAttempt, NotRunReason aReason, const char* aDetail);

  /// Ends an attempt that may not be written any more.
  /// \return whether it was ended
  bool EndIfLate(Attempt& aAttempt, TimePoint aNow);

  /// An attempt of which nothing was written waits for another connection.
  void Requeue(Attempt& aAttempt);

  /// The time of an attempt's timer has come.
  void OnAttemptTimer(Attempt& aAttempt);

  /// \return whether a group may open a connection now; if not, it is adjusted when it may
  bool MayOpen(LeafGroup& aGroup);
  void OnOpeningEnded();

  /// Adjusts a group from a fresh stack.
  void AdjustLater(LeafGroup& aGroup);

private:
  /// What one thread has for another.
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
  void StartHere(std::unique_ptr<Attempt> aAttempt);
  void CancelHere(std::uint64_t aAttempt);
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

  // As the thread of queries.
  boost::unordered_flat_map<std::uint64_t, Outstanding> outstanding;

  // As the owner of connections.
  std::unordered_multimap<std::uint64_t, std::unique_ptr<LeafGroup>> groups;
  boost::unordered_flat_map<std::uint64_t, std::unique_ptr<Attempt>> attempts;
  std::vector<std::unique_ptr<Attempt>> spareAttempts;
  std::size_t opening = 0;
  std::deque<LeafGroup*> waitingToOpen;
  std::vector<LeafGroup*> toAdjust;
  bool adjustScheduled = false;
  bool stopped = false;

  // Between threads.
  std::vector<Batch> outboxes; ///< one a thread; used by this thread alone
  bool flushScheduled = false;
  std::mutex inboxMutex;
  Batch inbox;                 ///< guarded by inboxMutex
  bool drainScheduled = false; ///< guarded by inboxMutex
  Batch scratch;               ///< batch being processed
};

} // namespace yp

#endif
