#ifndef YP_GATEWAY_INTERNAL_PLAINRUNNER_H
#define YP_GATEWAY_INTERNAL_PLAINRUNNER_H

#include "gateway/internal/leafattempts.h"
#include <optional>

namespace yp {

/// Runs requests that are answered by one leaf of a service.
class PlainRunner
{
public:
  PlainRunner(RunnerContext& aContext, RunnerFinished aFinished);

  /// Starts a request.
  /// \param aService service selected by the route or its split
  /// \return a refusal when no leaf can run the request now; it is not started then
  std::optional<GatewayReply> Start(RunnerRequest aRequest, const std::string& aService);

  /// Applies the end of the node to the requests in progress.
  void LimitToEnd();

  /// Refuses the requests that no leaf has got and that cannot be answered before the node ends.
  void RefuseWaiting();

  /// Removes a request and cancels its calls.
  void Abandon(std::uint64_t aHandle);

private:
  struct Run
  {
    RunnerRequest request;
    std::string service;
    LeafAttempts attempts;
    std::optional<HttpResponse> failure; ///< failure answer of a leaf that ran the request
    TimerId timer = 0;
  };

  bool Send(Run& aRun, CallPurpose aPurpose);
  void OnResult(std::uint64_t aHandle, std::uint64_t aCall, LeafResult aResult);
  void OnUnanswered(Run& aRun, LeafResult aResult);
  bool MayRepeat(const Run& aRun, LeafOutcome aOutcome) const;
  void FinishUnanswered(Run& aRun);

  /// \return the refusal of a request that no leaf has run
  GatewayReply RefusalForUnsent(const Run& aRun) const;
  void ArmTimer(Run& aRun);
  void OnTimer(std::uint64_t aHandle);
  /// Answers a request whose time is over: with a refusal if no leaf has got it.
  void OnTimeout(Run& aRun);
  Duration HedgeDelay(const Run& aRun) const;
  void Finish(Run& aRun, GatewayReply aReply);

  RunnerContext& context;
  RunnerFinished finished;
  RunTable<Run> runs;
};

} // namespace yp

#endif
