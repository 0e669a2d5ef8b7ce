#ifndef YP_GATEWAY_TESTS_QUEUEINGEXCHANGE_H
#define YP_GATEWAY_TESTS_QUEUEINGEXCHANGE_H

#include "framework/global/tests/faketimers.h"
#include "gateway/gateway.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>

namespace yp {

/// Leafs in virtual time that run as many calls as they have slots, queue a few more and refuse the rest.
class QueueingLeafs
{
public:
  using Handler = ILeafExchange::Handler;

  QueueingLeafs(ManualClock& aClock, FakeTimers& aTimers, IRandom& aRandom)
    : clock(aClock)
    , timers(aTimers)
    , random(aRandom)
  {
  }

  /// \param aCall unique among the calls of all nodes
  void Send(std::uint64_t aCall, const LeafRegistration& aLeaf, Handler aHandler)
  {
    Leaf& leaf = this->leafs[aLeaf.id];
    leaf.id = aLeaf.id;
    leaf.slots = aLeaf.slots;
    if (leaf.pausesFrom == TimePoint()) {
      leaf.slowness = kSlowest - this->random.Real() * 2 * (kSlowest - 1);
      const auto offset = std::chrono::duration_cast<Duration>(this->pausePeriod * this->random.Real());
      leaf.pausesFrom = this->clock.Now() - offset;
    }
    const Waiting waiting{ aCall, this->clock.Now(), std::move(aHandler) };
    this->byCall[aCall] = &leaf;
    ++this->arrivals;
    if (leaf.running.size() < leaf.slots) {
      this->Run(leaf, waiting);
    } else if (leaf.queue.size() < kQueueLimit) {
      leaf.queue.push_back(waiting);
    } else {
      ++this->refusals;
      this->timers.At(this->clock.Now() + kRefusalTime, [this, waiting] {
        if (this->byCall.erase(waiting.call) > 0) {
          LeafResult result;
          result.outcome = LeafOutcome::kNotRun;
          waiting.handler(std::move(result));
        }
      });
    }
  }

  /// Ends a call; the leaf stops work on it.
  void End(std::uint64_t aCall)
  {
    const auto found = this->byCall.find(aCall);
    if (found == this->byCall.end()) {
      return;
    }
    Leaf& leaf = *found->second;
    this->byCall.erase(found);
    const auto running = leaf.running.find(aCall);
    if (running != leaf.running.end()) {
      this->timers.Cancel(running->second);
      leaf.running.erase(running);
      this->RunNext(leaf);
      return;
    }
    leaf.queue.erase(std::remove_if(leaf.queue.begin(),
                                    leaf.queue.end(),
                                    [aCall](const Waiting& aOther) { return aOther.call == aCall; }),
                     leaf.queue.end());
  }

  /// \return time that a leaf needs for a call
  std::function<Duration(const std::string& aLeaf)> serviceTime = [](const std::string&) {
    return Duration(std::chrono::milliseconds(12));
  };
  /// Each leaf stands still for this long, once in a period, at its own time.
  Duration pause{ 0 };
  Duration pausePeriod = std::chrono::seconds(3);
  std::uint64_t arrivals = 0;
  std::uint64_t refusals = 0;

private:
  static constexpr std::size_t kQueueLimit = 12;
  static constexpr double kLeastTime = 0.4; ///< of a call, as a part of the mean
  static constexpr double kSlowest = 1.3;
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(1);

  struct Waiting
  {
    std::uint64_t call;
    TimePoint sentAt;
    Handler handler;
  };

  struct Leaf
  {
    std::string id;
    std::size_t slots = 0;
    double slowness = 1;  ///< its time for a request, as a part of the usual one
    TimePoint pausesFrom; ///< start of one of its pauses
    std::map<std::uint64_t, TimerId> running;
    std::deque<Waiting> queue;
  };

  void Run(Leaf& aLeaf, const Waiting& aWaiting)
  {
    const double factor = aLeaf.slowness * (kLeastTime + this->random.Real() * 2 * (1 - kLeastTime));
    const auto time = std::chrono::duration_cast<Duration>(this->serviceTime(aLeaf.id) * factor);
    aLeaf.running[aWaiting.call] =
      this->timers.At(this->EndOf(aLeaf, time), [this, &aLeaf, aWaiting] { this->Answer(aLeaf, aWaiting); });
  }

  /// \return end of work that begins now
  TimePoint EndOf(const Leaf& aLeaf, Duration aWork) const
  {
    const TimePoint now = this->clock.Now();
    const Duration inPeriod = (now - aLeaf.pausesFrom) % this->pausePeriod;
    if (inPeriod < this->pause) {
      return now + (this->pause - inPeriod) + aWork;
    }
    const bool interrupted = inPeriod + aWork > this->pausePeriod;
    return now + aWork + (interrupted ? this->pause : Duration::zero());
  }

  void Answer(Leaf& aLeaf, const Waiting& aWaiting)
  {
    aLeaf.running.erase(aWaiting.call);
    this->byCall.erase(aWaiting.call);
    this->RunNext(aLeaf);
    LeafResult result;
    result.outcome = LeafOutcome::kAnswered;
    result.elapsed = this->clock.Now() - aWaiting.sentAt;
    result.response.status = 200;
    result.signature = std::to_string(aWaiting.call);
    aWaiting.handler(std::move(result));
  }

  void RunNext(Leaf& aLeaf)
  {
    if (aLeaf.queue.empty() || aLeaf.running.size() >= aLeaf.slots) {
      return;
    }
    const Waiting next = std::move(aLeaf.queue.front());
    aLeaf.queue.pop_front();
    this->Run(aLeaf, next);
  }

  ManualClock& clock;
  FakeTimers& timers;
  IRandom& random;
  std::map<std::string, Leaf> leafs;
  std::map<std::uint64_t, Leaf*> byCall;
};

/// One node's calls to leafs that several nodes share.
class QueueingExchange final : public ILeafExchange
{
public:
  /// \param aNode below 65536, unique among the nodes
  QueueingExchange(ManualClock& aClock, FakeTimers& aTimers, QueueingLeafs& aLeafs, std::uint64_t aNode)
    : clock(aClock)
    , timers(aTimers)
    , leafs(aLeafs)
    , firstCall(aNode << kNodeShift)
  {
  }

  void Send(LeafCall aCall, Handler aHandler) override
  {
    const std::uint64_t call = this->firstCall + aCall.id;
    this->timers.At(this->clock.Now() + kOneWay, [this, call, leaf = aCall.leaf, aHandler] {
      this->leafs.Send(call, leaf->registration, [this, aHandler](LeafResult aResult) {
        this->timers.At(this->clock.Now() + kOneWay,
                        [aHandler, aResult = std::move(aResult)] { aHandler(aResult); });
      });
    });
  }

  void Cancel(std::uint64_t aCall) override { this->EndLater(aCall); }
  void Expire(std::uint64_t aCall) override { this->EndLater(aCall); }
  void SetConnectionShare(double) override {}
  void SetConnectionLimits(const std::map<std::string, std::uint32_t>&) override {}

private:
  static constexpr int kNodeShift = 48;
  static constexpr Duration kOneWay = std::chrono::microseconds(1500);

  /// The leaf hears of it after whatever was sent before.
  void EndLater(std::uint64_t aCall)
  {
    this->timers.At(this->clock.Now() + kOneWay,
                    [this, call = this->firstCall + aCall] { this->leafs.End(call); });
  }

  ManualClock& clock;
  FakeTimers& timers;
  QueueingLeafs& leafs;
  const std::uint64_t firstCall;
};

} // namespace yp

#endif
