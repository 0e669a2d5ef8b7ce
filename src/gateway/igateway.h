#ifndef YP_GATEWAY_IGATEWAY_H
#define YP_GATEWAY_IGATEWAY_H

#include "gateway/ileafexchange.h"
#include "gateway/routingstate.h"
#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace yp {

/// A caller's request. The message's target holds the path; the host is passed separately.
struct GatewayRequest
{
  std::shared_ptr<const ForwardedRequest> message;
  std::string host;
  Duration timeBudget{ 0 }; ///< time that the caller still waits, from the start of the request
};

enum class GatewayOutcome
{
  kPassed,  ///< the answer of one leaf, success or failure, passed on unchanged
  kMerged,  ///< merged records of several shards
  kRefused, ///< no leaf has run the request, and none will
  kNoRoute, ///< no route of the configuration in force matches the host and path
  kFailed,  ///< leafs may have run the request; no answer is possible any more
  kTimedOut ///< leafs may have run the request; no answer came in time
};

/// \return the lower-case name used in logs and metrics
const char*
ToString(GatewayOutcome aOutcome);

/// The answer to a caller.
struct GatewayReply
{
  GatewayOutcome outcome = GatewayOutcome::kRefused;
  HttpResponse response; ///< kPassed: the leaf's answer

  std::vector<std::string> signatures; ///< kMerged: signatures of the merged parts
  std::size_t missing = 0;             ///< shards without a merged part
  std::string records;                 ///< kMerged: the merged records, greatest first
  Duration retryAfter{ 0 };            ///< kRefused: suggested delay before the caller retries
  const char* reason = "";             ///< static string for logs
};

/// Settings of a gateway.
struct GatewayOptions
{
  std::string failureDomain;   ///< failure domain of this node
  double extraLoadRatio = 0.2; ///< allowed repeated leaf requests of the fleet, as a fraction of its requests
  double extraLoadSlack = 54;  ///< repeated leaf requests allowed in addition in each sliding window
  /// Cost added to a leaf in another failure domain, as a fraction of the route's objective. Traffic between
  /// domains costs more than a longer wait that still meets the objective.
  double remotePenaltyShare = 0.1;
};

constexpr std::size_t kGatewayOutcomes = 6;

/// Counters since the start of the process. Written by the gateway's thread, readable from any thread.
struct GatewayStats
{
  std::array<std::atomic<std::uint64_t>, kGatewayOutcomes> outcomes{};
  LatencyCounts latency; ///< of all answered requests
  std::atomic<std::uint64_t> firstCalls{ 0 };
  std::atomic<std::uint64_t> extraCalls{ 0 };
  std::atomic<std::uint64_t> extraRefused{ 0 }; ///< repeated calls that exceeded the budget
  std::atomic<std::uint64_t> leafBounds{ 0 };   ///< times that the calls to a leaf became limited
  std::atomic<std::uint64_t> routeBounds{ 0 };  ///< times that the queries of a route became limited
  std::atomic<std::uint64_t> partsMissing{ 0 };
  std::atomic<std::uint64_t> partsUnlistable{ 0 }; ///< parts whose signature cannot stand in an answer's list
  std::atomic<std::uint64_t> callersDisconnected{ 0 };
};

/// Serves callers' requests. Used on one thread.
class IGateway
{
public:
  using Handler = std::function<void(GatewayReply)>;

  virtual ~IGateway() = default;

  /// Applies a configuration unless the same or a newer version is in force.
  /// \return whether the configuration was applied
  virtual bool SetRouting(Ref<const RoutingState> aRouting) = 0;

  /// \return the configuration in force; null before the first one is set
  virtual Ref<const RoutingState> Routing() const = 0;

  /// Applies changed settings; the failure domain is not changed.
  virtual void SetOptions(const GatewayOptions& aOptions) = 0;

  /// Sets this node's share of the fleet's extra load slack, above 0, at most 1.
  virtual void SetExtraLoadShare(double aShare) = 0;

  /// Sets the time at which this node ends. Requests in progress are answered by then. A request that cannot
  /// be answered before, as far as its route's times tell, is refused: at its start, or while no leaf has got
  /// it.
  virtual void SetEnd(TimePoint aEnd) = 0;

  /// Starts a request.
  /// \param aHandler called once unless the request is abandoned; may be called from within Start
  /// \return handle for Abandon; 0 when the request was answered within Start
  virtual std::uint64_t Start(GatewayRequest aRequest, Handler aHandler) = 0;

  /// Ends a request whose caller has disconnected and cancels its calls to leafs.
  virtual void Abandon(std::uint64_t aHandle) = 0;

  /// \return requests in progress
  virtual std::size_t InProgress() const = 0;

  /// \return entries kept for routes and services: times, loads and budgets
  virtual std::size_t KeptEntries() const = 0;

  virtual const GatewayStats& Stats() const = 0;
};

} // namespace yp

#endif
