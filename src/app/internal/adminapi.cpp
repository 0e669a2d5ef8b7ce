#include "app/internal/adminapi.h"
#include <ctime>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

std::string
UtcTime(WallTime aTime)
{
  const std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  const auto fraction =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count() % 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[96];
  std::snprintf(text,
                sizeof text,
                "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                parts.tm_year + 1900,
                parts.tm_mon + 1,
                parts.tm_mday,
                parts.tm_hour,
                parts.tm_min,
                parts.tm_sec,
                static_cast<int>(fraction));
  return text;
}

std::string
Parameter(const HttpTarget& aTarget, const std::string& aName)
{
  const auto found = aTarget.parameters.find(aName);
  return found == aTarget.parameters.end() ? "" : found->second;
}

HttpResponse
Problem(unsigned aStatus, const std::string& aDetail)
{
  return JsonResponse(aStatus, { { "error", aDetail } });
}

Json
ExplainNodes(const ISteering& aSteering,
             const std::string& aCaller,
             const ServicePlacement* aPlacement,
             IRandom& aRandom)
{
  Json nodes = Json::array();
  const AddressAnswer answer =
    Recover([&] { return aSteering.Answer(aCaller, aRandom); }, [](const Error&) { return AddressAnswer{}; });
  for (const CallerAddress& address : answer.addresses) {
    const bool holds =
      aPlacement != nullptr &&
      std::binary_search(aPlacement->holders.begin(), aPlacement->holders.end(), address.host);
    nodes.push_back({ { "host", address.host },
                      { "failure_domain", address.failureDomain },
                      { "address", ToString(address.endpoint) },
                      { "weight", address.weight },
                      { "reason", holds ? "holds connections to the service" : "forwards to a holder" } });
  }
  return nodes;
}

/// Adds what this node saw of a leaf to its row.
void
AddObservation(Json& aRow, const LeafObservation& aObservation)
{
  aRow["in_flight"] = aObservation.inFlight;
  aRow["limit"] = aObservation.limit;
  aRow["latency_ms"] = std::chrono::duration<double, std::milli>(aObservation.latency).count();
  aRow["versions"] = aObservation.versions;
  if (aObservation.draining) {
    aRow["reason"] = "its server is leaving; no new work";
  } else if (aObservation.excluded) {
    aRow["reason"] = "excluded after failures; probed from time to time";
  }
}

Json
ExplainReplicas(const ServiceSpec& aService,
                const ServicePlacement* aPlacement,
                ShardId aShard,
                const std::vector<LeafObservation>& aObservations)
{
  Json replicas = Json::array();
  for (const LeafSpec& leaf : aService.leafs) {
    if (leaf.shard != aShard) {
      continue;
    }
    std::uint32_t own = 0;
    if (aPlacement != nullptr) {
      const auto found = aPlacement->ownConnections.find(leaf.leaf);
      own = found == aPlacement->ownConnections.end() ? 0 : found->second;
    }
    replicas.push_back(
      { { "leaf", leaf.leaf },
        { "server", leaf.server },
        { "failure_domain", leaf.failureDomain },
        { "layout", leaf.layout },
        { "own_connections", own },
        { "reason", own > 0 ? "this node may send requests to it" : "no connections from this node" } });
    for (const LeafObservation& observation : aObservations) {
      if (observation.leaf == leaf.leaf) {
        AddObservation(replicas.back(), observation);
      }
    }
  }
  return replicas;
}

} // namespace

AdminApi::AdminApi(NodeContext& aNode, ControlPlane& aControl, MetricsCollector& aMetrics)
  : node(aNode)
  , control(aControl)
  , metrics(aMetrics)
{
}

AdminApi::~AdminApi()
{
  this->Stop();
}

Result<void>
AdminApi::Open()
{
  HttpServerSettings settings;
  settings.listen = this->node.settings.admin;
  BOOST_LEAF_ASSIGN(
    this->server,
    StartHttpServer(this->context, settings, [this](HttpRequest aRequest, HttpRespond aRespond) {
      this->Handle(aRequest, aRespond);
    }));
  return {};
}

void
AdminApi::Start()
{
  this->thread = std::thread([this] { RunContext(this->context); });
}

void
AdminApi::Stop()
{
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
AdminApi::OnControl(const HttpRespond& aRespond, std::function<Json()> aRead)
{
  this->control.Post([aRespond, read = std::move(aRead)] { aRespond(JsonResponse(200, read())); });
}

void
AdminApi::Handle(const HttpRequest& aRequest, const HttpRespond& aRespond)
{
  const HttpTarget target =
    Recover([&] { return ParseTarget(aRequest.target); }, [](const Error&) { return HttpTarget{}; });
  if (aRequest.method != "GET") {
    aRespond(Problem(405, "the admin interface only answers GET"));
  } else if (target.path == "/admin/status") {
    this->OnControl(aRespond, [this] { return this->Status(); });
  } else if (target.path == "/admin/audit") {
    this->OnControl(aRespond, [this] { return this->Audit(); });
  } else if (target.path == "/admin/members") {
    this->OnControl(aRespond, [this] { return this->Members(); });
  } else if (target.path == "/admin/explain") {
    this->OnControl(aRespond, [this, target] { return this->Explain(target); });
  } else if (target.path == "/admin/fleet") {
    this->Fleet(aRespond);
  } else if (target.path == "/metrics") {
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    this->control.Post([this, aRespond, response]() mutable {
      response.body = this->metrics.Text();
      aRespond(response);
    });
  } else {
    aRespond(Problem(404, "no such path"));
  }
}

Json
AdminApi::Status() const
{
  const OverlayStatus overlay = this->control.Overlay().Status();
  const NodeReport report = this->control.OwnReport();
  Json freshness = nullptr;
  if (overlay.freshness) {
    freshness = overlay.freshness->count();
  }
  return { { "host", report.host },
           { "failure_domain", this->node.settings.failureDomain },
           { "region", this->node.settings.region },
           { "incarnation", report.incarnation },
           { "state", report.state },
           { "ready", overlay.ready },
           { "not_ready_reason", overlay.notReadyReason },
           { "in_force", report.inForce },
           { "highest_known", report.highest },
           { "links", overlay.links.size() },
           { "config_service_age_ms", freshness },
           { "reader_rank", overlay.readerRank },
           { "reader_state", ToString(overlay.reader.state) },
           { "reader_calls", overlay.reader.calls },
           { "config_service_stale", overlay.reader.stale },
           { "pauses", overlay.pauses },
           { "broken_invariants", BrokenInvariants() } };
}

Json
AdminApi::Audit() const
{
  Json records = Json::array();
  for (const AuditRecord& record : this->control.Store().Audit()) {
    records.push_back({ { "when", UtcTime(record.when) },
                        { "ticket", record.ticket },
                        { "object", record.object },
                        { "from", record.from },
                        { "to", record.to },
                        { "learnt_from", record.learntFrom },
                        { "rejection", record.rejection } });
  }
  return { { "host", this->node.settings.host }, { "records", records } };
}

Json
AdminApi::Members() const
{
  Json members = Json::array();
  const Ref<const MemberView> view = this->node.members.Load();
  if (view) {
    for (const MemberStatus& member : view->members) {
      const MemberRecord& record = member.record;
      members.push_back({ { "host", record.host },
                          { "failure_domain", record.failureDomain },
                          { "region", record.region },
                          { "state", ToString(record.state) },
                          { "caller", ToString(record.callerEndpoint) },
                          { "peer", ToString(record.peerEndpoint) },
                          { "admin", ToString(record.adminEndpoint) },
                          { "unreachable", member.unreachable },
                          { "placed", member.placed },
                          { "incarnation", ToString(record.incarnation) } });
    }
  }
  return { { "asked", this->node.settings.host }, { "members", members } };
}

Json
AdminApi::Explain(const HttpTarget& aTarget) const
{
  const std::string caller = Parameter(aTarget, "caller");
  std::string serviceName = Parameter(aTarget, "service");
  const auto shard = static_cast<ShardId>(std::strtoul(Parameter(aTarget, "shard").c_str(), nullptr, 10));
  const Ref<const TicketState> state = this->node.tickets.Load();
  const Ref<const Placement> placement = this->node.placement.Load();
  const Ref<const CallerSpec> spec = state ? state->FindCaller(caller) : nullptr;
  if (serviceName.empty() && spec) {
    serviceName = spec->services.front();
  }
  const Ref<const ServiceSpec> service = state ? state->FindService(serviceName) : nullptr;
  const ServicePlacement* held = nullptr;
  if (placement && placement->services.count(serviceName) != 0) {
    held = &placement->services.at(serviceName);
  }
  Json problems = Json::array();
  if (!spec) {
    problems.push_back("no ticket in force declares the caller");
  }
  if (!service) {
    problems.push_back("no ticket in force declares the service");
  }
  return { { "asked", this->node.settings.host },
           { "caller", caller },
           { "service", serviceName },
           { "shard", shard },
           { "ticket", state ? state->inForce : 0 },
           { "problems", problems },
           { "nodes", ExplainNodes(*this->node.steering, caller, held, this->node.controlRandom) },
           { "replicas",
             service
               ? ExplainReplicas(
                   *service, held, shard, this->node.queryNode->Observe(serviceName, this->node.clock.Now()))
               : Json::array() } };
}

void
AdminApi::Fleet(const HttpRespond& aRespond)
{
  this->control.Post([this, aRespond] {
    this->control.Fleet().Collect([this, aRespond](const std::vector<FleetRow>& aRows) {
      Json rows = Json::array();
      for (const FleetRow& row : aRows) {
        Json entry = { { "host", row.report.host },
                       { "failure_domain", row.failureDomain },
                       { "heard", row.heard },
                       { "age_ms", nullptr } };
        if (row.heard) {
          entry["state"] = row.report.state;
          entry["in_force"] = row.report.inForce;
          entry["highest_known"] = row.report.highest;
          entry["incarnation"] = row.report.incarnation;
          entry["age_ms"] = row.age.count();
        }
        rows.push_back(std::move(entry));
      }
      aRespond(JsonResponse(200, { { "asked", this->node.settings.host }, { "rows", rows } }));
    });
  });
}

} // namespace yp
