#ifndef YP_GATEWAY_INTERNAL_SCATTERRUNNER_H
#define YP_GATEWAY_INTERNAL_SCATTERRUNNER_H

#include "gateway/internal/leafattempts.h"
#include "gateway/recordmerge.h"
#include <map>
#include <optional>
#include <set>

namespace yp {

/// Runs queries over a set of services, the shards, and merges their records. A query is answered when all
/// parts are merged or failed, or at its objective with the parts merged so far, if these reach the minimum
/// coverage.
class ScatterRunner
{
public:
  ScatterRunner(RunnerContext& aContext, RunnerFinished aFinished);

  /// Starts a query.
  /// \return a refusal when too few shards have capacity or the route's limit is reached; the query is not
  /// started then
  std::optional<GatewayReply> Start(RunnerRequest aRequest);

  /// Drops the loads of routes that a new configuration does not name, unless queries of theirs are in
  /// progress.
  void KeepRoutes(const std::set<std::string>& aRoutes);

  std::size_t LoadEntries() const { return this->loads.size(); }

  /// Applies the end of the node to the queries in progress.
  void LimitToEnd();

  /// Removes a query and cancels its calls.
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
    std::size_t unloadedCount = 0; ///< of these, parts whose answer was lost or whose leaf asked for a pause
    std::size_t requiredParts = 1; ///< parts needed for the minimum coverage
    TimerId timer = 0;
  };

  bool Send(Run& aRun, std::size_t aPart, CallPurpose aPurpose);
  void OnResult(std::uint64_t aHandle, std::size_t aPart, std::uint64_t aCall, LeafResult aResult);
  bool Merge(Run& aRun, Part& aPart, const LeafResult& aResult);
  void OnUnanswered(Run& aRun, std::size_t aPart, const LeafResult& aResult);
  void Hedge(Run& aRun, TimePoint aNow);
  TimePoint HedgeAt(const Run& aRun, const Part& aPart) const;

  /// Ends the query when it can be answered, can no longer reach its coverage, or has timed out.
  /// \return whether the query ended
  bool Decide(Run& aRun, TimePoint aNow);
  void ArmTimer(Run& aRun, TimePoint aNow);
  void OnTimer(std::uint64_t aHandle);
  void Answer(Run& aRun);
  void Fail(Run& aRun, GatewayOutcome aOutcome, const char* aReason);
  void Finish(Run& aRun, GatewayReply aReply);

  /// Load of one route's queries on this node.
  struct RouteLoad
  {
    RouteLoad();

    ConcurrencyLimit limit;
    std::size_t inFlight = 0;
  };

  /// Checks whether a query can be served now.
  /// \param aRequiredParts parts needed for the minimum coverage
  /// \return a refusal when too few shards have capacity or the route's limit is reached
  std::optional<GatewayReply> RefusalFor(const RouteSpec& aRoute, std::size_t aRequiredParts, TimePoint aNow);

  /// \param aMissing number of shards without capacity that are needed for the minimum coverage, at least 1
  /// \return when so many shards have a leaf that returns from a pause; none if too few pause
  std::optional<TimePoint> CoverageReturns(const RouteSpec& aRoute,
                                           std::size_t aMissing,
                                           TimePoint aNow) const;

  /// Updates the query limit of a route with the outcome of a query.
  void UpdateRouteLimit(const Run& aRun, bool aCovered);

  RunnerContext& context;
  RunnerFinished finished;
  RunTable<Run> runs;
  std::map<std::string, RouteLoad> loads; ///< by route name
};

} // namespace yp

#endif
