#ifndef YP_GATEWAY_INTERNAL_PLAINRUNNER_H
#define YP_GATEWAY_INTERNAL_PLAINRUNNER_H

#include "gateway/internal/leafattempts.h"
#include <optional>

namespace yp {

/// Runs requests that one leaf of a service answers.
class PlainRunner
{
public:
  PlainRunner(RunnerContext& aContext, RunnerFinished aFinished);

  /// Starts a request.
  /// \param aService service that the route or its split names
  /// \return a refusal when no leaf can run it now; then it was not started
  std::optional<GatewayReply> Start(RunnerRequest aRequest, const std::string& aService);

  /// Cancels the calls of a request and forgets it.
  void Abandon(std::uint64_t aHandle);

private:
  struct Run
  {
    RunnerRequest request;
    std::string service;
    LeafAttempts attempts;
    std::optional<HttpResponse> failure; ///< of a leaf that ran it
    TimerId timer = 0;
  };

  bool Send(Run& aRun, CallPurpose aPurpose);
  void OnResult(std::uint64_t aHandle, std::uint64_t aCall, LeafResult aResult);
  void OnUnanswered(Run& aRun, LeafResult aResult);
  bool MayRepeat(const Run& aRun, LeafOutcome aOutcome) const;
  void GiveUp(Run& aRun);
  void Arm(Run& aRun);
  void Tick(std::uint64_t aHandle);
  Duration HedgeDelay(const Run& aRun) const;
  void Finish(Run& aRun, GatewayReply aReply);

  RunnerContext& context;
  RunnerFinished finished;
  RunTable<Run> runs;
};

} // namespace yp

#endif
