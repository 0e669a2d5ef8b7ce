#ifndef YP_GATEWAY_INTERNAL_RUNNERCONTEXT_H
#define YP_GATEWAY_INTERNAL_RUNNERCONTEXT_H

#include "gateway/internal/callsender.h"
#include "gateway/internal/extraloadshare.h"
#include "gateway/internal/leafchoice.h"
#include <memory>
#include <unordered_map>
#include <vector>

namespace yp {

/// Time reserved for sending the answer to the caller before the caller's deadline.
constexpr Duration kReturnMargin = std::chrono::milliseconds(8);

/// Objects shared by the runners of one gateway.
struct RunnerContext
{
  CallSender& sender;
  LeafDirectory& leafs;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
  ExtraLoadShare& budget;
  const GatewayOptions& options;
  GatewayStats& stats;
  TimePoint end = TimePoint::max(); ///< when this node ends; all requests are answered by then

  /// \return whether a call that is sent now can be answered before this node ends
  bool CanAnswer(const RouteTimes& aTimes, TimePoint aNow) const
  {
    return this->end == TimePoint::max() || aNow + aTimes.High() <= this->end;
  }

  /// Spends one repeated request from the budget and counts the result.
  /// \return whether the request may be sent
  bool TrySpend(const std::string& aService)
  {
    if (!this->budget.TrySpend(aService)) {
      ++this->stats.extraRefused;
      return false;
    }
    ++this->stats.extraCalls;
    return true;
  }
};

// A stopping node is given out no more, so a retry reaches another one, which can serve it at once.
constexpr Duration kStoppingRetry = std::chrono::milliseconds(20);

constexpr double kPauseSpread = 0.25;

/// A request in progress.
struct RunnerRequest
{
  std::uint64_t handle = 0;
  std::shared_ptr<const ForwardedRequest> message;
  Ref<const RoutingState> routing; ///< keeps the route alive
  const RouteSpec* route = nullptr;
  Ref<RouteTimes> times;
  TimePoint received;
  TimePoint objective;          ///< latest time to answer so that the caller gets it in the objective
  TimePoint answerBy;           ///< latest time of any answer
  TimePoint deadline;           ///< the caller stops waiting then
  std::uint32_t extraCalls = 0; ///< repeated calls made for the request
};

/// A runner's requests in progress, by handle.
/// \tparam Run has the members request and timer
template<class Run>
class RunTable
{
public:
  explicit RunTable(ITimers& aTimers)
    : timers(aTimers)
  {
  }

  Run& Add(std::unique_ptr<Run> aRun)
  {
    Run& run = *aRun;
    this->runs.emplace(run.request.handle, std::move(aRun));
    return run;
  }

  /// \return the request; null when it has ended
  Run* Find(std::uint64_t aHandle) const
  {
    const auto found = this->runs.find(aHandle);
    return found == this->runs.end() ? nullptr : found->second.get();
  }

  /// Removes a request and cancels its timer.
  /// \return the request; null when it has ended
  std::unique_ptr<Run> Take(std::uint64_t aHandle)
  {
    const auto found = this->runs.find(aHandle);
    if (found == this->runs.end()) {
      return nullptr;
    }
    std::unique_ptr<Run> run = std::move(found->second);
    this->runs.erase(found);
    this->timers.Cancel(run->timer);
    return run;
  }

  /// \return the handles of all requests
  std::vector<std::uint64_t> Handles() const
  {
    std::vector<std::uint64_t> handles;
    handles.reserve(this->runs.size());
    for (const auto& [handle, run] : this->runs) {
      handles.push_back(handle);
    }
    return handles;
  }

private:
  ITimers& timers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Run>> runs;
};

/// Called once with the answer to a request, never from within a runner's Start.
using RunnerFinished = std::function<void(const RunnerRequest&, GatewayReply)>;

/// \return a refusal whose retry delay is spread by 25 % around aAfter, so that callers do not retry at the
/// same time
inline GatewayReply
Refusal(const char* aReason, Duration aAfter, IRandom& aRandom)
{
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kRefused;
  reply.reason = aReason;
  reply.retryAfter = std::chrono::duration_cast<Duration>(aAfter * (0.75 + 0.5 * aRandom.Real()));
  return reply;
}

/// \return a refusal until a leaf that asked for a pause returns; its retry delay is spread upwards, so that
/// callers neither retry during the pause nor all at its end
inline GatewayReply
PauseRefusal(TimePoint aReturn, TimePoint aNow, IRandom& aRandom)
{
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kRefused;
  reply.reason = "leafs_paused";
  reply.retryAfter =
    std::chrono::duration_cast<Duration>((aReturn - aNow) * (1 + kPauseSpread * aRandom.Real()));
  return reply;
}

} // namespace yp

#endif
