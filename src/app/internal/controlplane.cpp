#include "app/internal/controlplane.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/asio/post.hpp>

namespace yp {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };
// A share that waits for its growth delay is looked at this often without any other change.
constexpr std::chrono::seconds kPlacementInterval{ 5 };
constexpr std::chrono::seconds kSteeringInterval{ 2 };

MemberRecord
OwnRecord(const NodeContext& aNode)
{
  MemberRecord record;
  record.host = aNode.settings.host;
  record.failureDomain = aNode.settings.failureDomain;
  record.region = aNode.settings.region;
  record.peerEndpoint = aNode.settings.peer;
  record.callerEndpoint = aNode.settings.caller;
  record.adminEndpoint = aNode.settings.admin;
  record.incarnation = aNode.incarnation;
  return record;
}

} // namespace

ControlPlane::ControlPlane(NodeContext& aNode)
  : node(aNode)
  , work(boost::asio::make_work_guard(this->context))
  , timers(this->context)
{
}

ControlPlane::~ControlPlane()
{
  this->Stop();
}

Result<void>
ControlPlane::Open()
{
  const DaemonSettings& settings = this->node.settings;
  PeerSettings peerSettings;
  peerSettings.listen = settings.peer;
  BOOST_LEAF_ASSIGN(this->peers, StartPeerTransport(this->context, peerSettings));
  this->configService = MakeConfigServiceClient(this->context, settings.configService);
  this->hostList = MakeHostListClient(this->context, settings.hostList);
  this->store = MakeTicketStore(this->node.clock);
  this->memberTable = MakeMemberTable(OwnRecord(this->node), this->node.clock);
  this->overlay = MakeOverlayNode({ this->node.clock,
                                    this->node.controlRandom,
                                    *this->peers,
                                    *this->configService,
                                    *this->hostList,
                                    *this->store,
                                    *this->memberTable,
                                    {} });
  this->calls = MakePeerCalls(*this->peers, this->timers, this->node.clock);
  this->forwarder =
    MakeForwarder(*this->calls,
                  this->node.members,
                  this->node.clock,
                  this->node.entryStats,
                  [this](std::function<void()> aFunction) { this->Post(std::move(aFunction)); });
  this->fleet = MakeFleetStatus(
    { *this->calls, this->node.clock, this->node.members, [this] { return this->OwnReport(); } });
  this->planner = MakePlacementPlanner();
  this->history =
    std::make_unique<HistoryExchange>(*this->calls, this->node.clock, *this->planner, settings.host);
  this->loadExchange =
    std::make_unique<LoadExchange>(*this->calls, this->node.clock, this->node.controlRandom, settings.host);
  return {};
}

void
ControlPlane::Attach(ILeafPools& aPools, std::function<double()> aUtilisation, ILifecycleActions& aActions)
{
  this->pools = &aPools;
  this->utilisation = std::move(aUtilisation);
  this->lifecycle = std::make_unique<Lifecycle>(aActions);
}

void
ControlPlane::Start()
{
  this->Post([this] {
    this->lifecycle->Started();
    this->Tick();
  });
  this->thread = std::thread([this] { RunContext(this->context); });
}

void
ControlPlane::Wait()
{
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
ControlPlane::Finish()
{
  this->context.stop();
}

void
ControlPlane::Stop()
{
  this->work.reset();
  this->context.stop();
  this->Wait();
}

void
ControlPlane::Post(std::function<void()> aFunction)
{
  boost::asio::post(this->context, std::move(aFunction));
}

NodeReport
ControlPlane::OwnReport() const
{
  return { this->node.settings.host,
           ToString(this->node.incarnation),
           this->lifecycle->State(),
           this->store->InForce(),
           this->store->Highest() };
}

void
ControlPlane::Tick()
{
  this->overlay->Tick();
  this->ControlTickets();
  this->ControlMembers();
  this->ControlDraining();
  this->ControlPlacement();
  this->ControlSteering();
  this->ControlLifecycle();
  this->timers.At(this->node.clock.Now() + kTickInterval, [this] { this->Tick(); });
}

void
ControlPlane::ControlLifecycle()
{
  const bool ready = this->overlay->Ready();
  if (ready) {
    this->lifecycle->BecameReady();
  } else {
    this->lifecycle->LostReadiness();
  }
  // Without a placement a request could not be sent anywhere.
  const bool placed = this->node.placement.Load() != nullptr;
  this->node.serving.Tick(ready && placed && this->lifecycle->Serves());
}

void
ControlPlane::ControlTickets()
{
  const Ref<const TicketState> state = this->store->State();
  const Ref<const TicketState> published = this->node.tickets.Load();
  if (state == published) {
    return;
  }
  const TicketNumber before = published ? published->inForce : 0;
  YP_INVARIANT(state->inForce >= before,
               "published_state_never_reverts",
               std::to_string(before) + " to " + std::to_string(state->inForce));
  for (const AuditRecord& record : this->store->Audit()) {
    if (record.ticket > before) {
      this->LogAudit(record);
    }
  }
  this->node.tickets.Publish(state);
  LogEvent(LogLevel::kInfo, "ticket_in_force", { { "from", before }, { "to", state->inForce } });
}

void
ControlPlane::LogAudit(const AuditRecord& aRecord) const
{
  if (!aRecord.rejection.empty()) {
    LogEvent(LogLevel::kWarning,
             "audit_rejected",
             { { "ticket", aRecord.ticket },
               { "reason", aRecord.rejection },
               { "learnt_from", aRecord.learntFrom } });
    return;
  }
  LogEvent(LogLevel::kInfo,
           "audit_change",
           { { "ticket", aRecord.ticket },
             { "object", aRecord.object },
             { "from", aRecord.from },
             { "to", aRecord.to },
             { "learnt_from", aRecord.learntFrom } });
}

void
ControlPlane::ControlMembers()
{
  const Ref<const MemberView> view = this->memberTable->View();
  if (view == this->node.members.Load()) {
    return;
  }
  this->node.members.Publish(view);
}

void
ControlPlane::ControlDraining()
{
  std::set<std::string> leaving = this->loadExchange->DrainingServers();
  const std::size_t fromPeers = leaving.size();
  const Ref<const MemberView> view = this->node.members.Load();
  if (view) {
    leaving.insert(view->leavingServers.begin(), view->leavingServers.end());
  }
  if (leaving == this->leavingServers) {
    return;
  }
  LogEvent(LogLevel::kInfo,
           "leaving_servers",
           { { "servers", boost::algorithm::join(leaving, ",") },
             { "from_peers", fromPeers },
             { "listed", view ? view->leavingServers.size() : 0 } });
  this->leavingServers = leaving;
  this->node.queryNode->SetLeavingServers(leaving);
}

bool
ControlPlane::MayPlace(const MemberView& aView)
{
  // Before the members are known a node would take the share of its whole failure domain.
  if (!this->placementStarted) {
    this->placementStarted = this->overlay->Ready() && this->history->Settle(aView);
  }
  return this->placementStarted;
}

void
ControlPlane::ControlPlacement()
{
  const TimePoint now = this->node.clock.Now();
  const Ref<const TicketState> state = this->node.tickets.Load();
  const Ref<const MemberView> view = this->node.members.Load();
  const bool changed = state != this->placedTickets || view != this->placedMembers;
  if (!state || !view || (!changed && now < this->nextPlacement) || !this->MayPlace(*view)) {
    return;
  }
  this->nextPlacement = now + kPlacementInterval;
  this->placedTickets = state;
  this->placedMembers = view;
  const Ref<const Placement> placement = this->planner->Plan(*state, *view, now);
  const Ref<const Placement> published = this->node.placement.Load();
  if (changed || placement != published) {
    this->node.placement.Publish(placement);
    this->pools->Update(*state, *placement);
  }
}

void
ControlPlane::ControlSteering()
{
  const TimePoint now = this->node.clock.Now();
  const Ref<const TicketState> state = this->node.tickets.Load();
  const Ref<const MemberView> view = this->node.members.Load();
  const Ref<const Placement> placement = this->node.placement.Load();
  if (!state || !view || !placement) {
    return;
  }
  if (now >= this->nextSteering) {
    this->nextSteering = now + kSteeringInterval;
    this->loadExchange->Exchange(
      this->utilisation(), this->node.queryNode->DrainingServers(now), *placement, *view);
  }
  this->node.steering->Update(state, view, placement, this->loadExchange->Loads(), now);
}

} // namespace yp
