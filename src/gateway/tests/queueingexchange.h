#ifndef YP_GATEWAY_TESTS_QUEUEINGEXCHANGE_H
#define YP_GATEWAY_TESTS_QUEUEINGEXCHANGE_H

#include "framework/global/tests/faketimers.h"
#include "gateway/gateway.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>

namespace yp {

/// Simulates leafs in virtual time. Each leaf runs as many calls as it has slots, queues up to kQueueLimit
/// more and refuses the rest.
class QueueingLeafs
{
public:
  using Handler = ILeafExchange::Handler;

  static constexpr std::size_t kQueueLimit = 12;

  QueueingLeafs(ManualClock& aClock, FakeTimers& aTimers, IRandom& aRandom)
    : clock(aClock)
    , timers(aTimers)
    , random(aRandom)
  {
  }

  /// Starts a call at a leaf.
  /// \param aCall unique among the calls of all nodes
  void Send(std::uint64_t aCall, const LeafRegistration& aLeaf, Handler aHandler)
  {
    Leaf& leaf = this->leafs[aLeaf.id];
    leaf.id = aLeaf.id;
    leaf.slots = aLeaf.slots;
    if (leaf.pauseStart == TimePoint()) {
      leaf.slowness = kMaxSlowness - this->random.Real() * 2 * (kMaxSlowness - 1);
      const auto offset = std::chrono::duration_cast<Duration>(this->pausePeriod * this->random.Real());
      leaf.pauseStart = this->clock.Now() - offset;
    }
    const ReceivedCall received{ aCall, this->clock.Now(), std::move(aHandler) };
    this->leafByCall[aCall] = &leaf;
    ++this->arrivals;
    const std::optional<Duration> wanted = this->wantsPause ? this->wantsPause(leaf.id) : std::nullopt;
    if (wanted) {
      ++this->turnedAway[leaf.id];
      this->Refuse(received, wanted);
    } else if (leaf.running.size() < leaf.slots) {
      this->Run(leaf, received);
    } else if (leaf.queue.size() < kQueueLimit) {
      leaf.queue.push_back(received);
    } else {
      ++this->refusals;
      this->Refuse(received, std::nullopt);
    }
  }

  /// Ends a call. The leaf stops working on it or removes it from its queue.
  void End(std::uint64_t aCall)
  {
    const auto found = this->leafByCall.find(aCall);
    if (found == this->leafByCall.end()) {
      return;
    }
    Leaf& leaf = *found->second;
    this->leafByCall.erase(found);
    const auto running = leaf.running.find(aCall);
    if (running != leaf.running.end()) {
      this->timers.Cancel(running->second);
      leaf.running.erase(running);
      this->RunNext(leaf);
      return;
    }
    leaf.queue.erase(std::remove_if(leaf.queue.begin(),
                                    leaf.queue.end(),
                                    [aCall](const ReceivedCall& aOther) { return aOther.call == aCall; }),
                     leaf.queue.end());
  }

  /// \return mean time in which a leaf of average speed runs a call
  std::function<Duration(const std::string& aLeaf)> serviceTime = [](const std::string&) {
    return Duration(std::chrono::milliseconds(12));
  };
  /// Time for which each leaf stops working once per pausePeriod. The phase is random for each leaf.
  Duration pause{ 0 };
  Duration pausePeriod = std::chrono::seconds(3);
  /// \return for how long a leaf wants no more requests; such a request is turned away
  std::function<std::optional<Duration>(const std::string& aLeaf)> wantsPause;
  std::map<std::string, std::size_t> turnedAway; ///< by leaf: requests turned away with a pause
  std::uint64_t arrivals = 0;
  std::uint64_t refusals = 0;

private:
  static constexpr double kMinTimeFactor = 0.4; ///< shortest time of a call, as a fraction of the leaf's mean
  static constexpr double kMaxSlowness = 1.3;   ///< slowness of a leaf lies between 2 - kMaxSlowness and this
  static constexpr Duration kRefusalDelay = std::chrono::milliseconds(1);

  struct ReceivedCall
  {
    std::uint64_t call;
    TimePoint receivedAt;
    Handler handler;
  };

  struct Leaf
  {
    std::string id;
    std::size_t slots = 0;
    double slowness = 1;  ///< mean time of a call at this leaf, as a multiple of serviceTime
    TimePoint pauseStart; ///< start of one of the leaf's pauses
    std::map<std::uint64_t, TimerId> running;
    std::deque<ReceivedCall> queue;
  };

  void Refuse(const ReceivedCall& aReceived, std::optional<Duration> aPause)
  {
    this->timers.At(this->clock.Now() + kRefusalDelay, [this, aReceived, aPause] {
      if (this->leafByCall.erase(aReceived.call) > 0) {
        LeafResult result;
        result.outcome = LeafOutcome::kNotRun;
        result.notice.pause = aPause;
        aReceived.handler(std::move(result));
      }
    });
  }

  void Run(Leaf& aLeaf, const ReceivedCall& aReceived)
  {
    const double factor = aLeaf.slowness * (kMinTimeFactor + this->random.Real() * 2 * (1 - kMinTimeFactor));
    const auto time = std::chrono::duration_cast<Duration>(this->serviceTime(aLeaf.id) * factor);
    aLeaf.running[aReceived.call] = this->timers.At(
      this->CompletionTime(aLeaf, time), [this, &aLeaf, aReceived] { this->Answer(aLeaf, aReceived); });
  }

  /// \return time at which work that starts now is complete, with pauses
  TimePoint CompletionTime(const Leaf& aLeaf, Duration aWork) const
  {
    const TimePoint now = this->clock.Now();
    const Duration timeInPeriod = (now - aLeaf.pauseStart) % this->pausePeriod;
    if (timeInPeriod < this->pause) {
      return now + (this->pause - timeInPeriod) + aWork;
    }
    const bool interrupted = timeInPeriod + aWork > this->pausePeriod;
    return now + aWork + (interrupted ? this->pause : Duration::zero());
  }

  void Answer(Leaf& aLeaf, const ReceivedCall& aReceived)
  {
    aLeaf.running.erase(aReceived.call);
    this->leafByCall.erase(aReceived.call);
    this->RunNext(aLeaf);
    LeafResult result;
    result.outcome = LeafOutcome::kAnswered;
    result.elapsed = this->clock.Now() - aReceived.receivedAt;
    result.response.status = 200;
    result.signature = std::to_string(aReceived.call);
    aReceived.handler(std::move(result));
  }

  void RunNext(Leaf& aLeaf)
  {
    if (aLeaf.queue.empty() || aLeaf.running.size() >= aLeaf.slots) {
      return;
    }
    const ReceivedCall next = std::move(aLeaf.queue.front());
    aLeaf.queue.pop_front();
    this->Run(aLeaf, next);
  }

  ManualClock& clock;
  FakeTimers& timers;
  IRandom& random;
  std::map<std::string, Leaf> leafs;
  std::map<std::uint64_t, Leaf*> leafByCall;
};

/// Transports the calls of one node to simulated leafs that several nodes share.
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
    this->timers.At(this->clock.Now() + kOneWayLatency, [this, call, leaf = aCall.leaf, aHandler] {
      this->leafs.Send(call, leaf->registration, [this, leaf, aHandler](LeafResult aResult) {
        this->timers.At(this->clock.Now() + kOneWayLatency,
                        [this, leaf, aHandler, aResult = std::move(aResult)] {
                          leaf->Apply(aResult.notice, "", this->clock.Now());
                          aHandler(aResult);
                        });
      });
    });
  }

  void Cancel(std::uint64_t aCall) override { this->SendEnd(aCall); }
  void Expire(std::uint64_t aCall) override { this->SendEnd(aCall); }
  bool Withdraw(std::uint64_t) override { return false; }
  void SetConnectionShare(double) override {}
  void SetConnectionLimits(const std::map<std::string, std::uint32_t>&) override {}

private:
  static constexpr int kNodeShift = 48;
  static constexpr Duration kOneWayLatency = std::chrono::microseconds(1500);

  /// Ends a call after the one-way latency, so that the leaf receives the end after all earlier messages.
  void SendEnd(std::uint64_t aCall)
  {
    this->timers.At(this->clock.Now() + kOneWayLatency,
                    [this, call = this->firstCall + aCall] { this->leafs.End(call); });
  }

  ManualClock& clock;
  FakeTimers& timers;
  QueueingLeafs& leafs;
  const std::uint64_t firstCall;
};

} // namespace yp

#endif
