#ifndef YP_QUERY_QUERY_H
#define YP_QUERY_QUERY_H

/// \file
/// Public header of the library yp_query, which plans requests and sends them to leafs over ILeafTransport.

#include "query/ileaftransport.h"
#include "query/iqueryengine.h"
#include "query/irequesttable.h"
#include "query/querystats.h"
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace yp {

enum class HedgePolicy
{
  kNone,
  kFixed,
  kAdaptive
};

enum class ReplicaPolicy
{
  kRandom,
  kRoundRobin,
  kLoadAware
};

/// Settings of the request path.
struct QueryOptions
{
  std::string failureDomain; ///< failure domain of this node
  HedgePolicy hedgePolicy = HedgePolicy::kAdaptive;
  ReplicaPolicy replicaPolicy = ReplicaPolicy::kLoadAware;
  bool limitExtraLoad = true; ///< false: hedges and retries are unlimited, as a baseline for comparison

  Duration fixedHedgeDelay = std::chrono::milliseconds(50); ///< also used until latency samples exist
  double hedgeQuantile = 0.97;                              ///< attempts slower than this quantile are hedged
  Duration minHedgeDelay = std::chrono::milliseconds(1);

  std::uint32_t maxInFlight = 2000;        ///< requests in flight at this node; more are shed
  double softLimitFraction = 0.8;          ///< above this part of the limit, caller shares apply
  std::uint32_t maxConcurrencyPerSlot = 4; ///< maximum attempts in flight at a leaf per slot of the leaf
  Duration maxQueueWait = std::chrono::milliseconds(50); ///< for kLatency; kCoverage waits to the deadline
  double earlyMinCoverage = 0.9;    ///< coverage from which policy kLatency may answer early
  double earlyMinHedgeDelays = 3.0; ///< no early answer before this many hedge delays
  /// No early answer before this part of the time to the caller's deadline. A caller that can wait 1.5 s
  /// gains nothing from a partial answer after 30 ms.
  double earlyMinDeadlineFraction = 0.25;
  std::uint32_t maxReplans = 2;
  Duration rampDuration = std::chrono::seconds(10); ///< until a cold leaf gets its full share
};

/// State of one leaf as observed by this node, for operators.
struct LeafObservation
{
  std::string leaf;
  std::uint32_t inFlight = 0;
  std::uint32_t limit = 0; ///< maximum requests in flight from this node to the leaf
  Duration latency{ 0 };   ///< moving average; 0 without samples
  bool draining = false;
  bool excluded = false;
  std::vector<IndexVersion> versions; ///< servable, as of the last reply; newest first
};

/// State that the request threads of a node share: leaf health, budget, limits and counters. Thread-safe.
class IQueryNode
{
public:
  virtual ~IQueryNode() = default;

  /// Sets the backend servers that are leaving; their leafs get no new requests.
  virtual void SetLeavingServers(const std::set<std::string>& aServers) = 0;

  /// \return the backend servers that reported in replies to this node that they are draining
  virtual std::set<std::string> DrainingServers(TimePoint aNow) const = 0;

  /// \return the state of those leafs of a service that this node has used
  virtual std::vector<LeafObservation> Observe(const std::string& aService, TimePoint aNow) const = 0;

  virtual const QueryStats& Stats() const = 0;
};

/// \return the shared state; must outlive the engines made with it
std::unique_ptr<IQueryNode>
MakeQueryNode(QueryOptions aOptions);

/// Dependencies of one engine. The references must outlive the engine.
struct QueryEngineParts
{
  IQueryNode& node;
  ILeafTransport& transport;
  ITimers& timers;
  const IClock& clock;
  IRandom& random; ///< not shared with other threads
  IRequestTable& requests;
  std::function<Ref<const TicketState>()> tickets; ///< state in force; null before the first
};

/// \return the engine of one request thread. It records the outcomes of Execute in the request table.
std::unique_ptr<IQueryEngine>
MakeQueryEngine(const QueryEngineParts& aParts);

/// \return an empty request table
/// \param aRandom used under a lock of the table; must not be shared with other users
std::unique_ptr<IRequestTable>
MakeRequestTable(const IClock& aClock,
                 IRandom& aRandom,
                 const Incarnation& aIncarnation,
                 std::size_t aCapacity = 1000000);

} // namespace yp

#endif
