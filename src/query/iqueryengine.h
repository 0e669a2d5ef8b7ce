#ifndef YP_QUERY_IQUERYENGINE_H
#define YP_QUERY_IQUERYENGINE_H

#include "query/querytypes.h"
#include <functional>

namespace yp {

/// Runs callers' requests against the leafs. One object a request thread; not safe for use by other threads.
class IQueryEngine
{
public:
  using Handler = std::function<void(RequestAnswer)>;
  using RequestHandle = std::uint64_t;

  virtual ~IQueryEngine() = default;

  /// Runs a lookup. The handler runs exactly once, unless the request is abandoned.
  /// \return handle for Abandon
  virtual RequestHandle Lookup(LookupRequest aRequest, Handler aHandler) = 0;

  /// Runs a non-idempotent request at most once. The caller of this function has claimed the request id.
  virtual RequestHandle Execute(ExecuteRequest aRequest, Handler aHandler) = 0;

  /// The caller has gone: outstanding attempts are cancelled and the handler is dropped. A non-idempotent
  /// request that may have been written goes on, so that its outcome becomes known.
  virtual void Abandon(RequestHandle aRequest) = 0;

  /// \return requests that have not been answered
  virtual std::size_t InFlight() const = 0;
};

} // namespace yp

#endif
