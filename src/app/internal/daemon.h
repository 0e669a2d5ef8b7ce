#ifndef YP_APP_INTERNAL_DAEMON_H
#define YP_APP_INTERNAL_DAEMON_H

#include "app/internal/adminapi.h"
#include "app/internal/controlplane.h"
#include "app/internal/metricscollector.h"
#include "app/internal/requestthread.h"
#include "leaf/leaf.h"
#include <memory>
#include <vector>

namespace yp {

/// One node: composes the modules, runs the threads, and stops them in order.
class Daemon final : private ILifecycleActions
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon() override;

  /// Opens all ports, runs until a planned stop has ended, and returns.
  /// \return kUnavailable when a port cannot be opened
  Result<void> Run();

private:
  void AnnounceLeaving() override;
  void StartDraining() override;
  void Stop() override;

  Result<void> Open();
  void CheckDrained();
  void StopThreads();
  double Utilisation();
  std::size_t InFlight() const;

  NodeContext node;
  std::unique_ptr<ControlPlane> control;
  std::vector<std::unique_ptr<RequestThread>> threads;
  std::unique_ptr<ILeafPools> pools;
  std::unique_ptr<MetricsCollector> metrics;
  std::unique_ptr<AdminApi> admin;
  std::size_t nextThread = 0;  ///< control thread: which thread serves the next forwarded request
  std::size_t idleThreads = 0; ///< control thread: request threads without connected callers
  TimePoint drainEnd;          ///< control thread
  TimePoint lastUsageSample;   ///< control thread
  Duration lastUsage{ 0 };     ///< control thread: processor time at the last sample
};

} // namespace yp

#endif
