#ifndef YP_GATEWAY_ILEAFEXCHANGE_H
#define YP_GATEWAY_ILEAFEXCHANGE_H

#include "framework/network/network.h"
#include "gateway/leafdirectory.h"
#include <functional>
#include <memory>
#include <string>

namespace yp {

/// A caller's request as it is forwarded to leafs. Shared by all calls made for it.
struct ForwardedRequest
{
  std::string id; ///< request id of the caller's attempt
  std::string method;
  std::string target;  ///< path and query, unchanged
  HttpHeaders headers; ///< end-to-end fields only
  std::string body;
};

/// One attempt to run a request at one leaf.
struct LeafCall
{
  std::uint64_t id = 0; ///< unique within the process; never reused
  Ref<LeafHandle> leaf;
  std::shared_ptr<const ForwardedRequest> request;
  TimePoint deadline; ///< the caller stops waiting then; the leaf is sent the remaining time
  bool freshConnection =
    false; ///< avoid connections that were idle for a while: the leaf may have closed them
};

enum class LeafOutcome
{
  kAnswered,    ///< complete successful answer to this request, with the leaf's signature
  kFailed,      ///< the leaf ran the request and answered with a failure
  kNotRun,      ///< the leaf reported that it did not run the request
  kMisdirected, ///< another leaf uses the address now; the request was not run
  kNotSent,     ///< no part of the request was written
  kHeldBack,    ///< not written because the leaf accepts no requests any more, or pauses
  kLost         ///< written without a complete answer; the request may have run
};

/// \return the lower-case name used in logs
const char*
ToString(LeafOutcome aOutcome);

/// Result of a call.
struct LeafResult
{
  LeafOutcome outcome = LeafOutcome::kNotSent;
  HttpResponse response; ///< kAnswered, kFailed; connection fields removed
  std::string signature; ///< signature of the leaf's answer; empty when there is none
  LeafNotice notice;     ///< what the leaf said of itself; already applied to the leaf
  Duration elapsed{ 0 }; ///< time from writing the request to the end of the answer
  Error error;           ///< kNotSent, kLost
};

/// Transports calls to leafs and applies the notices in their answers to the leafs. Used on one thread.
class ILeafExchange
{
public:
  using Handler = std::function<void(LeafResult)>;

  virtual ~ILeafExchange() = default;

  /// Starts a call.
  /// \param aHandler called once, never from within Send, and not after Cancel
  virtual void Send(LeafCall aCall, Handler aHandler) = 0;

  /// Ends a call and closes its connection, so that the leaf stops working on it.
  virtual void Cancel(std::uint64_t aCall) = 0;

  /// Ends a call of which nothing has been written; other calls continue.
  /// \return whether the call was ended, so that its leaf will never get it
  virtual bool Withdraw(std::uint64_t aCall) = 0;

  /// Ends a call whose leaf did not answer. Also closes the idle connections to that leaf: they may be
  /// broken.
  virtual void Expire(std::uint64_t aCall) = 0;

  /// Sets the share of each leaf's connection limit that this node may use, above 0, at most 1.
  virtual void SetConnectionShare(double aShare) = 0;

  /// Sets the connection limit of each service's leafs.
  virtual void SetConnectionLimits(const std::map<std::string, std::uint32_t>& aLimits) = 0;
};

} // namespace yp

#endif
