#ifndef YP_APP_INTERNAL_ADMINAPI_H
#define YP_APP_INTERNAL_ADMINAPI_H

#include "app/internal/controlplane.h"
#include "app/internal/metricscollector.h"
#include "app/internal/nodecontext.h"
#include "framework/network/network.h"
#include <boost/asio/io_context.hpp>
#include <thread>

namespace yp {

/// The operators' HTTP interface on a thread of its own. What belongs to the control thread is read there.
class AdminApi
{
public:
  AdminApi(NodeContext& aNode, ControlPlane& aControl, MetricsCollector& aMetrics);
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  /// Opens the admin port.
  Result<void> Open();

  /// Starts the thread.
  void Start();

  /// Ends the thread and waits for it.
  void Stop();

private:
  void Handle(const HttpRequest& aRequest, const HttpRespond& aRespond);
  void OnControl(const HttpRespond& aRespond, std::function<Json()> aRead);
  Json Status() const;
  Json Audit() const;
  Json Members() const;
  Json Explain(const HttpTarget& aTarget) const;
  void Fleet(const HttpRespond& aRespond);

  NodeContext& node;
  ControlPlane& control;
  MetricsCollector& metrics;
  boost::asio::io_context context{ 1 };
  std::unique_ptr<IHttpServer> server;
  std::thread thread;
};

} // namespace yp

#endif
