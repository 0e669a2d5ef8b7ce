#ifndef YP_GATEWAY_INTERNAL_PLAINRUNNER_H
#define YP_GATEWAY_INTERNAL_PLAINRUNNER_H

#include "gateway/internal/runnercontext.h"
#include <memory>
#include <optional>
#include <unordered_map>

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
    std::vector<LeafHandle*> used;
    std::vector<Ref<LeafHandle>> usedRefs; ///< keeps the entries of used alive
    std::vector<std::uint64_t> calls;
    std::uint32_t mayHaveRun = 0; ///< calls that a leaf may have run
    std::uint32_t extra = 0;
    std::uint32_t unsent = 0;
    bool hedged = false;
    std::optional<HttpResponse> failure; ///< of a leaf that ran it
    TimePoint sentAt;
    TimerId timer = 0;
  };

  enum class Purpose
  {
    kFirst,
    kUnsent, ///< the call before it was not written
    kExtra
  };

  bool Send(Run& aRun, Purpose aPurpose);
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
  std::unordered_map<std::uint64_t, std::unique_ptr<Run>> runs;
};

} // namespace yp

#endif
