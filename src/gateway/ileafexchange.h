#ifndef YP_GATEWAY_ILEAFEXCHANGE_H
#define YP_GATEWAY_ILEAFEXCHANGE_H

#include "framework/network/network.h"
#include "gateway/leafdirectory.h"
#include <functional>
#include <memory>
#include <string>

namespace yp {

/// A caller's request as it is passed on. Shared by all calls that belong to it.
struct ForwardedRequest
{
  std::string id; ///< of the caller's attempt
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
  TimePoint deadline; ///< the caller no longer waits after it; the leaf is told what is left
  bool freshConnection =
    false; ///< not on a connection that was idle for a while: the leaf may have closed it
};

enum class LeafOutcome
{
  kAnswered,    ///< a complete success with the leaf's signature, for this request
  kFailed,      ///< the leaf ran it and answered with a failure
  kNotRun,      ///< the leaf said that it did not run it
  kMisdirected, ///< another leaf has the address; not run
  kNotSent,     ///< nothing was written
  kLost         ///< written, and no complete answer came; it may have run
};

/// \return the lower-case name used in logs
const char*
ToString(LeafOutcome aOutcome);

/// What came of a call.
struct LeafResult
{
  LeafOutcome outcome = LeafOutcome::kNotSent;
  HttpResponse response; ///< kAnswered, kFailed; connection fields removed
  std::string signature; ///< names the leaf's answer; empty without one
  Duration elapsed{ 0 }; ///< from the write to the end of the answer
  Error error;           ///< kNotSent, kLost
};

/// Carries calls to leafs. Used on one thread.
class ILeafExchange
{
public:
  using Handler = std::function<void(LeafResult)>;

  virtual ~ILeafExchange() = default;

  /// Starts a call.
  /// \param aHandler called once, never from within Send, and not after Cancel
  virtual void Send(LeafCall aCall, Handler aHandler) = 0;

  /// Ends a call: its connection is closed, so that the leaf stops work.
  virtual void Cancel(std::uint64_t aCall) = 0;

  /// Ends a call whose leaf did not answer. Idle connections to that leaf are closed too: they may be dead.
  virtual void Expire(std::uint64_t aCall) = 0;

  /// Sets the share of each leaf's connection limit that this node may use, above 0, at most 1.
  virtual void SetConnectionShare(double aShare) = 0;

  /// Takes over the connection limits of the services.
  virtual void SetConnectionLimits(const std::map<std::string, std::uint32_t>& aLimits) = 0;
};

} // namespace yp

#endif
