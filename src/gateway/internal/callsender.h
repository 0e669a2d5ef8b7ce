#ifndef YP_GATEWAY_INTERNAL_CALLSENDER_H
#define YP_GATEWAY_INTERNAL_CALLSENDER_H

#include "gateway/gateway.h"
#include "gateway/internal/logbudget.h"
#include "gateway/internal/routetimes.h"
#include <unordered_map>

namespace yp {

/// Sends calls and keeps the condition of the leafs. A call that is not needed any more may end by itself for
/// a while, which keeps its connection and shows whether its leaf answers.
class CallSender
{
public:
  using Handler = std::function<void(std::uint64_t, LeafResult)>;

  /// \param aLog, aStats outlive the sender
  CallSender(const GatewayParts& aParts, LogBudget& aLog, GatewayStats& aStats);
  ~CallSender();
  CallSender(const CallSender&) = delete;
  CallSender& operator=(const CallSender&) = delete;

  /// \param aCall call without an id
  /// \param aTimes of the route; learns from the answer
  /// \param aLatencyTarget an answer that takes longer shrinks the leaf's limit; zero for a call without a
  /// limit \param aRepeated another leaf got the request before \param aHandler called once with the call's
  /// id, unless the call is released or cancelled \return the call's id
  std::uint64_t Send(LeafCall aCall,
                     Ref<RouteTimes> aTimes,
                     Duration aLatencyTarget,
                     bool aRepeated,
                     Handler aHandler);

  /// Gives up interest in a call; it is cancelled when it does not end soon.
  void Release(std::uint64_t aCall);

  /// Ends a call at once because its caller has gone.
  void Cancel(std::uint64_t aCall);

  /// Ends a call at once because its leaf did not answer in time.
  void Expire(std::uint64_t aCall);

private:
  struct Call : OutstandingCall
  {
    std::uint64_t id = 0;
    Ref<LeafHandle> leaf;
    Ref<RouteTimes> times;
    std::shared_ptr<const ForwardedRequest> request;
    Duration latencyTarget{ 0 };
    bool repeated = false;
    Handler handler;
    TimePoint releasedAt;
  };

  /// Removes a call from those under way.
  /// \return the call; null when it has ended
  std::unique_ptr<Call> Take(std::uint64_t aCall);

  void OnResult(std::uint64_t aCall, LeafResult aResult);
  void Learn(Call& aCall, const LeafResult& aResult);
  /// Takes over into the leaf's limit how long a call took; zero when the leaf refused it.
  void LearnLimit(const Call& aCall, Duration aElapsed, TimePoint aNow);
  void Log(const Call& aCall, const char* aOutcome, Duration aElapsed, const Error& aError);
  void Sweep();
  void ArmSweep();

  ILeafExchange& exchange;
  ITimers& timers;
  const IClock& clock;
  LogBudget& log;
  GatewayStats& stats;
  std::uint64_t lastId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  std::size_t released = 0;
  TimerId sweepTimer = 0;
};

} // namespace yp

#endif
