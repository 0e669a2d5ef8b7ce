#ifndef YP_GATEWAY_INTERNAL_CALLSENDER_H
#define YP_GATEWAY_INTERNAL_CALLSENDER_H

#include "gateway/gateway.h"
#include "gateway/internal/logbudget.h"
#include "gateway/internal/routetimes.h"
#include <unordered_map>

namespace yp {

/// Sends calls to leafs and updates the leafs' observed condition. A call that is no longer needed may still
/// finish within a time limit, which keeps its connection open and shows whether its leaf answers.
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
  /// \param aTimes time estimates of the route, updated by the answer
  /// \param aLatencyTarget a later answer shrinks the leaf's call limit; zero for a call without a limit
  /// \param aRepeated whether the request was sent to another leaf before
  /// \param aHandler called once with the call's id, unless the call is released or cancelled
  /// \return the call's id
  std::uint64_t Send(LeafCall aCall,
                     Ref<RouteTimes> aTimes,
                     Duration aLatencyTarget,
                     bool aRepeated,
                     Handler aHandler);

  /// Releases a call whose result is no longer needed; it expires if it does not finish soon, and is
  /// cancelled at once if the leaf's call limit is below one call.
  void Release(std::uint64_t aCall);

  /// Cancels a call at once because its caller has disconnected.
  void Cancel(std::uint64_t aCall);

  /// Ends a call of which nothing has been written.
  /// \return whether it was ended
  bool Withdraw(std::uint64_t aCall);

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

  /// Removes a call from the calls in progress.
  /// \return the call; null when it has ended
  std::unique_ptr<Call> Take(std::uint64_t aCall);

  void OnResult(std::uint64_t aCall, LeafResult aResult);
  void UpdateCondition(Call& aCall, const LeafResult& aResult);
  /// Updates the leaf's call limit with the duration of a call; zero when the leaf refused it.
  void UpdateLimit(const Call& aCall, Duration aElapsed, TimePoint aNow);
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
