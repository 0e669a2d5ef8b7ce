#ifndef YP_GATEWAY_IGATEWAY_H
#define YP_GATEWAY_IGATEWAY_H

#include "gateway/ileafexchange.h"
#include "gateway/routingstate.h"
#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace yp {

/// A caller's request. The target of the message names the path; the host is given besides.
struct GatewayRequest
{
  std::shared_ptr<const ForwardedRequest> message;
  std::string host;
  Duration timeBudget{ 0 }; ///< how long the caller waits from now
};

enum class GatewayOutcome
{
  kPassed,  ///< a leaf's own answer, success or failure
  kMerged,  ///< records of several shards
  kRefused, ///< no leaf ran it, and none will
  kNoRoute, ///< the configuration in force does not name such a path
  kFailed,  ///< leafs may have run it; no answer can come any more
  kTimedOut ///< leafs may have run it; its time is over
};

/// \return the lower-case name used in logs and metrics
const char*
ToString(GatewayOutcome aOutcome);

/// The answer to a caller.
struct GatewayReply
{
  GatewayOutcome outcome = GatewayOutcome::kRefused;
  HttpResponse response;               ///< kPassed
  std::vector<std::string> signatures; ///< kMerged: of the parts that are in
  std::size_t missing = 0;             ///< kMerged: shards that are left out
  std::string records;                 ///< kMerged: greatest first
  Duration retryAfter{ 0 };            ///< kRefused: when the caller had better return
  const char* reason = "";             ///< static text for logs
};

/// Settings of a gateway.
struct GatewayOptions
{
  std::string failureDomain;   ///< of this node
  double extraLoadRatio = 0.2; ///< repeated leaf requests of the fleet, as a part of its requests
  double extraLoadSlack = 54;  ///< repeated leaf requests of the fleet beyond that, in the window
  /// By which a leaf in another failure domain has to be faster, as a part of the route's objective. Bytes
  /// between domains cost more than a wait that still meets the objective.
  double remotePenaltyShare = 0.1;
};

constexpr std::size_t kGatewayOutcomes = 6;

/// Counts since the start. Written by the gateway's thread, read by any.
struct GatewayStats
{
  std::array<std::atomic<std::uint64_t>, kGatewayOutcomes> outcomes{};
  LatencyCounts latency; ///< of all answers
  std::atomic<std::uint64_t> firstCalls{ 0 };
  std::atomic<std::uint64_t> extraCalls{ 0 };
  std::atomic<std::uint64_t> extraRefused{ 0 }; ///< repeated calls that the budget did not allow
  std::atomic<std::uint64_t> leafBounds{ 0 };   ///< times that calls to a leaf became bounded
  std::atomic<std::uint64_t> routeBounds{ 0 };  ///< times that the queries of a route became bounded
  std::atomic<std::uint64_t> partsMissing{ 0 };
  std::atomic<std::uint64_t> callersDisconnected{ 0 };
};

/// Serves callers' requests on one thread.
class IGateway
{
public:
  using Handler = std::function<void(GatewayReply)>;

  virtual ~IGateway() = default;

  /// Takes over a configuration unless a newer one is in force.
  /// \return whether it is in force now
  virtual bool SetRouting(Ref<const RoutingState> aRouting) = 0;

  /// \return the configuration in force; null before the first
  virtual Ref<const RoutingState> Routing() const = 0;

  /// Takes over changed settings; the failure domain stays.
  virtual void SetOptions(const GatewayOptions& aOptions) = 0;

  /// Sets the part of the fleet's extra load that this node may cause, above 0, at most 1.
  virtual void SetExtraLoadShare(double aShare) = 0;

  /// Starts a request.
  /// \param aHandler called once unless the request is abandoned; may run within the call
  /// \return handle for Abandon; 0 when it was answered within the call
  virtual std::uint64_t Start(GatewayRequest aRequest, Handler aHandler) = 0;

  /// Ends a request whose caller has gone; leafs stop work on it.
  virtual void Abandon(std::uint64_t aHandle) = 0;

  /// \return requests in progress
  virtual std::size_t InProgress() const = 0;

  virtual const GatewayStats& Stats() const = 0;
};

} // namespace yp

#endif
