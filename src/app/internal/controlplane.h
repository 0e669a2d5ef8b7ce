#ifndef YP_APP_INTERNAL_CONTROLPLANE_H
#define YP_APP_INTERNAL_CONTROLPLANE_H

#include "app/internal/historyexchange.h"
#include "app/internal/lifecycle.h"
#include "app/internal/loadexchange.h"
#include "app/internal/nodecontext.h"
#include "configservice/configservice.h"
#include "fleetstatus/fleetstatus.h"
#include "framework/network/network.h"
#include "leaf/leaf.h"
#include "membership/membership.h"
#include "overlay/overlay.h"
#include "peer/peer.h"
#include "placement/placement.h"
#include "rpc/rpc.h"
#include "tickets/tickets.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace yp {

/// The control thread: peers, readers of the platform, and the controllers that write the blackboard.
class ControlPlane
{
public:
  explicit ControlPlane(NodeContext& aNode);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Opens the peer port and builds the engines. Before Start.
  Result<void> Open();

  /// What the controllers act on besides the blackboard. Before Start; the pools must outlive the control
  /// thread.
  void Attach(ILeafPools& aPools, std::function<double()> aUtilisation, ILifecycleActions& aActions);

  /// Starts the thread.
  void Start();

  /// Waits until the thread has ended.
  void Wait();

  /// Lets the thread end. Control thread only.
  void Finish();

  /// Ends the thread and waits for it.
  void Stop();

  /// Runs a function on the control thread.
  void Post(std::function<void()> aFunction);

  boost::asio::io_context& Context() { return this->context; }
  ITimers& Timers() { return this->timers; }
  Lifecycle& Life() { return *this->lifecycle; }
  IOverlayNode& Overlay() { return *this->overlay; }
  IForwarder& Forwarder() { return *this->forwarder; }
  IPeerCalls& Calls() { return *this->calls; }
  IFleetStatus& Fleet() { return *this->fleet; }
  const ITicketStore& Store() const { return *this->store; }
  const IPeerTransport& Peers() const { return *this->peers; }
  const std::map<std::string, NodeLoad>& Loads() const { return this->loadExchange->Loads(); }
  NodeReport OwnReport() const;

private:
  void Tick();
  void ControlLifecycle();
  void ControlTickets();
  void ControlMembers();
  void ControlDraining();
  void ControlPlacement();
  void ControlSteering();
  bool MayPlace(const MemberView& aView);
  void LogAudit(const AuditRecord& aRecord) const;

  NodeContext& node;
  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  AsioTimers timers;
  std::unique_ptr<IPeerTransport> peers;
  std::unique_ptr<IConfigService> configService;
  std::unique_ptr<IHostList> hostList;
  std::unique_ptr<ITicketStore> store;
  std::unique_ptr<IMemberTable> memberTable;
  std::unique_ptr<IOverlayNode> overlay;
  std::unique_ptr<IPeerCalls> calls;
  std::unique_ptr<IForwarder> forwarder;
  std::unique_ptr<IFleetStatus> fleet;
  std::unique_ptr<IPlacementPlanner> planner;
  std::unique_ptr<HistoryExchange> history;
  std::unique_ptr<LoadExchange> loadExchange;
  std::unique_ptr<Lifecycle> lifecycle;
  ILeafPools* pools = nullptr;
  std::function<double()> utilisation;
  Ref<const TicketState> placedTickets;
  Ref<const MemberView> placedMembers;
  std::set<std::string> leavingServers; ///< as given to the request path
  bool placementStarted = false;
  TimePoint nextPlacement;
  TimePoint nextSteering;
  std::thread thread;
};

} // namespace yp

#endif
