#ifndef YP_QUERY_IQUERYENGINE_H
#define YP_QUERY_IQUERYENGINE_H

#include "query/querytypes.h"
#include <functional>

namespace yp {

/// Runs the requests of callers on the leafs. Each request thread has its own object; not thread-safe.
class IQueryEngine
{
public:
  using Handler = std::function<void(RequestAnswer)>;
  using RequestHandle = std::uint64_t;

  virtual ~IQueryEngine() = default;

  /// Runs a lookup. The handler runs exactly once, unless the request is abandoned.
  /// \return handle for Abandon
  virtual RequestHandle Lookup(LookupRequest aRequest, Handler aHandler) = 0;

  /// Runs a non-idempotent request at most once. The request id must have been claimed before.
  /// \return handle for Abandon
  virtual RequestHandle Execute(ExecuteRequest aRequest, Handler aHandler) = 0;

  /// Gives up a request whose caller has disconnected: cancels outstanding attempts and drops the handler. A
  /// non-idempotent request that may have been written continues, so that its outcome is recorded.
  virtual void Abandon(RequestHandle aRequest) = 0;

  /// \return number of requests that have not been answered
  virtual std::size_t InFlight() const = 0;
};

} // namespace yp

#endif
