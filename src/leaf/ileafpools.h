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

/// Connections of this node to the leafs. A hash of service and leaf selects the request thread that owns the
/// connections to the leaf.
class ILeafPools
{
public:
  virtual ~ILeafPools() = default;

  /// \param aThread index of a request thread's context, as given to MakeLeafPools
  /// \return the transport of that thread, to be used on it only; owned by the pools
  virtual ILeafTransport& Transport(std::size_t aThread) = 0;

  /// Sets how many connections this node may open to each leaf (its share). Safe to call from any thread.
  /// When a share is reduced, surplus connections are closed once they are idle. A leaf that aState does not
  /// list gets a share of 0.
  virtual void Update(const TicketState& aState, const Placement& aPlacement) = 0;

  /// Closes all connections. Attempts end as kNotRun if nothing was written, as kUnknown otherwise. Safe to
  /// call from any thread; the contexts must keep running until all handlers have run.
  virtual void Stop() = 0;

  /// \return the totals of all threads; safe to call from any thread
  virtual LeafPoolCounters Counters() const = 0;
};

/// Creates the pools.
/// \param aContexts one context for each request thread, each run by a single thread; they must outlive the
///        pools and must not run during or after the destruction of the pools
/// \param aClock steady system clock, the same that the contexts' timers use; must outlive the pools
std::unique_ptr<ILeafPools>
MakeLeafPools(const std::vector<boost::asio::io_context*>& aContexts,
              const IClock& aClock,
              LeafPoolSettings aSettings = {});

} // namespace yp

#endif
