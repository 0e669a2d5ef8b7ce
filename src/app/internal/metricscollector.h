#ifndef YP_APP_INTERNAL_METRICSCOLLECTOR_H
#define YP_APP_INTERNAL_METRICSCOLLECTOR_H

#include "app/internal/controlplane.h"
#include "app/internal/nodecontext.h"
#include "leaf/leaf.h"
#include <string>

namespace yp {

/// Reads the node's counters when they are asked for, so that the request path only adds to atomics.
class MetricsCollector
{
public:
  MetricsCollector(const NodeContext& aNode, const ControlPlane& aControl, const ILeafPools& aPools);

  /// \return all metrics in the Prometheus text format. Control thread only.
  std::string Text() const;

private:
  const NodeContext& node;
  const ControlPlane& control;
  const ILeafPools& pools;
};

} // namespace yp

#endif
