#ifndef YP_GATEWAY_INTERNAL_SCATTERRUNNER_H
#define YP_GATEWAY_INTERNAL_SCATTERRUNNER_H

#include "gateway/internal/leafattempts.h"
#include "gateway/recordmerge.h"
#include <map>
#include <optional>
#include <set>

namespace yp {

/// Runs queries over a set of services, the shards, and merges their records. A query answers when all parts
/// are in, or at its objective with what it has, if that covers enough.
class ScatterRunner
{
public:
  ScatterRunner(RunnerContext& aContext, RunnerFinished aFinished);

  /// Starts a query.
  /// \return a refusal when too few shards have leafs that answer; then it was not started
  std::optional<GatewayReply> Start(RunnerRequest aRequest);

  /// Cancels the calls of a query and forgets it.
  void Abandon(std::uint64_t aHandle);

private:
  struct Part
  {
    LeafAttempts attempts;
    bool merged = false;
    bool failed = false;
  };

  struct Run
  {
    explicit Run(std::size_t aTop)
      : merge(aTop)
    {
    }

    RunnerRequest request;
    std::vector<Part> parts; ///< in the order of the route's shards
    RecordMerge merge;
    std::set<std::string> signatures;
    std::size_t mergedCount = 0;
    std::size_t failedCount = 0;
    std::size_t needed = 1; ///< parts of the least coverage
    TimerId timer = 0;
    TimePoint timerAt;
  };

  bool Send(Run& aRun, std::size_t aPart, CallPurpose aPurpose);
  void OnResult(std::uint64_t aHandle, std::size_t aPart, std::uint64_t aCall, LeafResult aResult);
  bool Merge(Run& aRun, Part& aPart, const LeafResult& aResult);
  void OnUnanswered(Run& aRun, std::size_t aPart, const LeafResult& aResult);
  void Hedge(Run& aRun, TimePoint aNow);
  TimePoint HedgeAt(const Run& aRun, const Part& aPart) const;

  /// Ends the query when nothing more is needed or can come.
  /// \return whether it ended
  bool Decide(Run& aRun, TimePoint aNow);
  void Arm(Run& aRun, TimePoint aNow);
  void Tick(std::uint64_t aHandle);
  void Answer(Run& aRun);
  void Fail(Run& aRun, GatewayOutcome aOutcome, const char* aReason);
  void Finish(Run& aRun, GatewayReply aReply);

  /// The queries of one route on this node.
  struct RouteLoad
  {
    RouteLoad();

    ConcurrencyLimit limit;
    std::size_t inFlight = 0;
  };

  /// Decides whether a query can be served now.
  /// \param aNeeded parts of the least coverage
  /// \return a refusal when too few shards have leafs with room, or the route's bound is reached
  std::optional<GatewayReply> RefusalFor(const RouteSpec& aRoute, std::size_t aNeeded, TimePoint aNow);

  /// Takes over how a query ended into the bound of its route.
  void LearnLoad(const Run& aRun, bool aCovered);

  RunnerContext& context;
  RunnerFinished finished;
  RunTable<Run> runs;
  std::map<std::string, RouteLoad> loads; ///< by route
};

} // namespace yp

#endif
