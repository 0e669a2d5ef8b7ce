#ifndef YP_LEAF_ILEAFPOOLS_H
#define YP_LEAF_ILEAFPOOLS_H

#include "leaf/leaftypes.h"
#include "placement/placementtypes.h"
#include "query/ileaftransport.h"
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace yp {

/// The connections of this node to the leafs, divided among the request threads by hash of service and leaf.
class ILeafPools
{
public:
  virtual ~ILeafPools() = default;

  /// \param aThread index of a request thread's context, as given to MakeLeafPools
  /// \return the transport to be used on that thread alone; lives as long as the pools
  virtual ILeafTransport& Transport(std::size_t aThread) = 0;

  /// Sets the shares of connections. Safe to call from any thread. Connections of a share that has shrunk are
  /// closed once they are idle. A leaf that the state does not list is treated as if its share were 0.
  virtual void Update(const TicketState& aState, const Placement& aPlacement) = 0;

  /// Closes all connections. Attempts end as kNotRun when nothing was written and as kUnknown otherwise. Safe
  /// to call from any thread; the contexts must run on until the handlers have run.
  virtual void Stop() = 0;

  /// \return the totals; safe to call from any thread
  virtual LeafPoolCounters Counters() const = 0;
};

/// Creates the pools.
/// \param aContexts one context for each request thread, each run by one thread; they must outlive the pools
///        and must not run while the pools are destroyed or after that
/// \param aClock steady system time; timers of the contexts run by the same time. Must outlive the pools
std::unique_ptr<ILeafPools>
MakeLeafPools(const std::vector<boost::asio::io_context*>& aContexts,
              const IClock& aClock,
              LeafPoolSettings aSettings = {});

} // namespace yp

#endif
