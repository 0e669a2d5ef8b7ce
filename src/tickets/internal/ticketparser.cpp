#include "tickets/internal/objectreader.h"
#include "tickets/tickets.h"
#include <set>

namespace yp {

namespace {

constexpr const char* kStep = "tickets.parse";
constexpr std::size_t kMaxObjects = 10000;
constexpr std::size_t kMaxLayouts = 8;
constexpr std::size_t kMaxShards = 100000;
constexpr std::size_t kMaxLeafs = 200000;
constexpr std::size_t kMaxFailureDomains = 256;
constexpr std::size_t kMaxCallerServices = 10000;
constexpr std::size_t kMaxCommentBytes = 4096;
constexpr std::uint64_t kMaxShardWeight = 1'000'000'000'000;
constexpr std::uint64_t kMaxConnections = 100000;
constexpr std::uint64_t kMaxSlots = 100000;
constexpr std::uint64_t kMaxTimeMs = 600000;
constexpr std::uint64_t kMaxAddressTtlMs = 3600000;
constexpr double kMaxLoadWeight = 1e6;
constexpr double kMaxExtraLoadPercent = 10.0;
constexpr double kMaxHeadroomPercent = 90.0;
constexpr std::uint64_t kMaxId = UINT32_MAX;

leaf::error_id
Problem(const std::string& aPath, const std::string& aDetail)
{
  return Fail(ErrorCode::kBadInput, kStep, "", aPath + ": " + aDetail);
}

std::string
Element(const std::string& aPath, std::size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

Result<LayoutSpec>
ReadLayout(const Json& aValue, const std::string& aPath)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aValue, aPath));
  BOOST_LEAF_AUTO(number, reader.Integer("layout", 0, kMaxId));
  BOOST_LEAF_AUTO(shards, reader.Array("shards", 1, kMaxShards));
  BOOST_LEAF_CHECK(reader.Finish());
  LayoutSpec layout;
  layout.layout = static_cast<LayoutId>(number);
  std::set<ShardId> seen;
  for (std::size_t i = 0; i < shards->size(); ++i) {
    const std::string path = Element(reader.PathOf("shards"), i);
    BOOST_LEAF_AUTO(shardReader, ObjectReader::Open((*shards)[i], path));
    BOOST_LEAF_AUTO(shard, shardReader.Integer("shard", 0, kMaxId));
    BOOST_LEAF_AUTO(weight, shardReader.Integer("weight", 1, kMaxShardWeight));
    BOOST_LEAF_CHECK(shardReader.Finish());
    if (!seen.insert(static_cast<ShardId>(shard)).second) {
      return Problem(path + ".shard", "is declared twice");
    }
    layout.shards.push_back({ static_cast<ShardId>(shard), weight });
  }
  return layout;
}

Result<LeafSpec>
ReadLeaf(const Json& aValue,
         const std::string& aPath,
         const std::set<std::pair<LayoutId, ShardId>>& aDeclared)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aValue, aPath));
  LeafSpec leaf;
  BOOST_LEAF_ASSIGN(leaf.leaf, reader.Name("leaf"));
  BOOST_LEAF_ASSIGN(leaf.server, reader.Name("server"));
  BOOST_LEAF_AUTO(address, reader.Text("address", kMaxCommentBytes));
  BOOST_LEAF_AUTO(port, reader.Integer("port", 1, UINT16_MAX));
  BOOST_LEAF_ASSIGN(leaf.failureDomain, reader.Name("failure_domain"));
  BOOST_LEAF_AUTO(layout, reader.Integer("layout", 0, kMaxId));
  BOOST_LEAF_AUTO(shard, reader.Integer("shard", 0, kMaxId));
  BOOST_LEAF_CHECK(reader.Finish());
  const std::string host = address.find(':') == std::string::npos ? address : "[" + address + "]";
  const bool numeric = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ParseEndpoint(host + ":" + std::to_string(port)));
      return true;
    },
    [](const Error&) { return false; });
  if (!numeric) {
    return Problem(reader.PathOf("address"), "has to be a numeric IP address");
  }
  leaf.endpoint = Endpoint{ address, static_cast<std::uint16_t>(port) };
  leaf.layout = static_cast<LayoutId>(layout);
  leaf.shard = static_cast<ShardId>(shard);
  if (aDeclared.count({ leaf.layout, leaf.shard }) == 0) {
    return Problem(reader.PathOf("shard"), "is not a shard of a declared layout");
  }
  return leaf;
}

Result<Ref<const ServiceSpec>>
ReadService(ObjectReader& aReader, const std::string& aName, TicketNumber aTicket)
{
  Ref<ServiceSpec> service(new ServiceSpec);
  service->name = aName;
  service->ticket = aTicket;
  BOOST_LEAF_AUTO(slots, aReader.Integer("slots", 1, kMaxSlots));
  BOOST_LEAF_AUTO(connections, aReader.Integer("connections", 1, kMaxConnections));
  BOOST_LEAF_AUTO(connectMs, aReader.Integer("connect_ms", 0, kMaxTimeMs));
  BOOST_LEAF_ASSIGN(service->loadWeight, aReader.Real("load_weight", 1.0, 1e-6, kMaxLoadWeight));
  service->slots = static_cast<std::uint32_t>(slots);
  service->connections = static_cast<std::uint32_t>(connections);
  service->connectTime = std::chrono::milliseconds(connectMs);

  BOOST_LEAF_AUTO(layouts, aReader.Array("layouts", 1, kMaxLayouts));
  std::set<std::pair<LayoutId, ShardId>> declared;
  std::set<LayoutId> layoutIds;
  for (std::size_t i = 0; i < layouts->size(); ++i) {
    const std::string path = Element(aReader.PathOf("layouts"), i);
    BOOST_LEAF_AUTO(layout, ReadLayout((*layouts)[i], path));
    if (!layoutIds.insert(layout.layout).second) {
      return Problem(path + ".layout", "is declared twice");
    }
    for (const ShardSpec& shard : layout.shards) {
      declared.insert({ layout.layout, shard.shard });
    }
    service->layouts.push_back(std::move(layout));
  }

  BOOST_LEAF_AUTO(leafs, aReader.Array("leafs", 0, kMaxLeafs));
  std::set<std::string> leafIds;
  for (std::size_t i = 0; i < leafs->size(); ++i) {
    const std::string path = Element(aReader.PathOf("leafs"), i);
    BOOST_LEAF_AUTO(leaf, ReadLeaf((*leafs)[i], path, declared));
    if (!leafIds.insert(leaf.leaf).second) {
      return Problem(path + ".leaf", "is declared twice");
    }
    service->leafs.push_back(std::move(leaf));
  }
  return Ref<const ServiceSpec>(service);
}

Result<Ref<const CallerSpec>>
ReadCaller(ObjectReader& aReader, const std::string& aName, TicketNumber aTicket)
{
  Ref<CallerSpec> caller(new CallerSpec);
  caller->name = aName;
  caller->ticket = aTicket;
  BOOST_LEAF_AUTO(services, aReader.Array("services", 1, kMaxCallerServices));
  for (std::size_t i = 0; i < services->size(); ++i) {
    if (!(*services)[i].is_string()) {
      return Problem(Element(aReader.PathOf("services"), i), "has to be a service name");
    }
    caller->services.push_back((*services)[i].get<std::string>());
  }
  BOOST_LEAF_AUTO(policy, aReader.Word("policy", { "latency", "coverage" }));
  caller->policy = policy == "latency" ? CallerPolicy::kLatency : CallerPolicy::kCoverage;
  BOOST_LEAF_AUTO(deadlineMs, aReader.Integer("deadline_ms", 1, kMaxTimeMs));
  caller->deadline = std::chrono::milliseconds(deadlineMs);
  BOOST_LEAF_ASSIGN(caller->minCoverage, aReader.Real("min_coverage", 0.0, 0.0, 1.0));
  BOOST_LEAF_ASSIGN(caller->share, aReader.Real("share", 1.0, 1e-6, kMaxLoadWeight));
  return Ref<const CallerSpec>(caller);
}

Result<Ref<const FleetSpec>>
ReadFleet(ObjectReader& aReader, TicketNumber aTicket)
{
  Ref<FleetSpec> fleet(new FleetSpec);
  fleet->ticket = aTicket;
  BOOST_LEAF_AUTO(domains, aReader.Array("failure_domains", 1, kMaxFailureDomains));
  std::set<std::string> names;
  for (std::size_t i = 0; i < domains->size(); ++i) {
    const std::string path = Element(aReader.PathOf("failure_domains"), i);
    BOOST_LEAF_AUTO(reader, ObjectReader::Open((*domains)[i], path));
    BOOST_LEAF_AUTO(name, reader.Name("name"));
    BOOST_LEAF_AUTO(region, reader.Name("region"));
    BOOST_LEAF_CHECK(reader.Finish());
    if (!names.insert(name).second) {
      return Problem(path + ".name", "is declared twice");
    }
    fleet->failureDomains.push_back({ name, region });
  }
  BOOST_LEAF_ASSIGN(fleet->extraLoadPercent,
                    aReader.Real("extra_load_percent", 5.0, 0.0, kMaxExtraLoadPercent));
  BOOST_LEAF_ASSIGN(fleet->connectionHeadroomPercent,
                    aReader.Real("connection_headroom_percent", 20.0, 0.0, kMaxHeadroomPercent));
  if (aReader.Has("address_ttl_ms")) {
    BOOST_LEAF_AUTO(ttlMs, aReader.Integer("address_ttl_ms", 100, kMaxAddressTtlMs));
    fleet->addressTtl = std::chrono::milliseconds(ttlMs);
  }
  return Ref<const FleetSpec>(fleet);
}

Result<void>
ReadState(ObjectReader& aReader, TicketNumber aTicket, ObjectChange& aChange)
{
  if (aChange.key.kind == ObjectKind::kService) {
    BOOST_LEAF_ASSIGN(aChange.service, ReadService(aReader, aChange.key.name, aTicket));
  } else if (aChange.key.kind == ObjectKind::kCaller) {
    BOOST_LEAF_ASSIGN(aChange.caller, ReadCaller(aReader, aChange.key.name, aTicket));
  } else {
    BOOST_LEAF_ASSIGN(aChange.fleet, ReadFleet(aReader, aTicket));
  }
  return {};
}

Result<ObjectChange>
ReadChange(const Json& aValue, const std::string& aPath, TicketNumber aTicket)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aValue, aPath));
  BOOST_LEAF_AUTO(kind, reader.Word("kind", { "service", "caller", "fleet" }));
  ObjectChange change;
  BOOST_LEAF_ASSIGN(change.key.name, reader.Name("name"));
  BOOST_LEAF_AUTO(state, reader.Value("state"));
  BOOST_LEAF_CHECK(reader.Finish());
  change.key.kind = kind == "service"  ? ObjectKind::kService
                    : kind == "caller" ? ObjectKind::kCaller
                                       : ObjectKind::kFleet;
  if (change.key.kind == ObjectKind::kFleet && change.key.name != "fleet") {
    return Problem(reader.PathOf("name"), "has to be \"fleet\" for this kind");
  }
  if (state->is_null()) {
    return change;
  }
  BOOST_LEAF_AUTO(stateReader, ObjectReader::Open(*state, reader.PathOf("state")));
  BOOST_LEAF_CHECK(ReadState(stateReader, aTicket, change));
  BOOST_LEAF_CHECK(stateReader.Finish());
  return change;
}

Result<void>
ReadTicket(TicketNumber aNumber, std::string_view aBody, Ticket& aTicket)
{
  BOOST_LEAF_AUTO(document, ParseJson(aBody));
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(document, "ticket"));
  BOOST_LEAF_AUTO(number, reader.Integer("ticket", 1, UINT64_MAX - 1));
  if (number != aNumber) {
    return Problem("ticket.ticket",
                   "is " + std::to_string(number) + " but published as " + std::to_string(aNumber));
  }
  if (reader.Has("comment")) {
    BOOST_LEAF_ASSIGN(aTicket.comment, reader.Text("comment", kMaxCommentBytes));
  }
  BOOST_LEAF_AUTO(objects, reader.Array("objects", 1, kMaxObjects));
  BOOST_LEAF_CHECK(reader.Finish());
  std::set<ObjectKey> seen;
  for (std::size_t i = 0; i < objects->size(); ++i) {
    const std::string path = Element("objects", i);
    BOOST_LEAF_AUTO(change, ReadChange((*objects)[i], path, aNumber));
    if (!seen.insert(change.key).second) {
      return Problem(path + ".name", "is touched twice");
    }
    aTicket.changes.push_back(std::move(change));
  }
  return {};
}

} // namespace

Ref<const Ticket>
ParseTicket(TicketNumber aNumber, std::string_view aBody)
{
  Ref<Ticket> ticket(new Ticket);
  ticket->body = std::string(aBody);
  ticket->header.number = aNumber;
  ticket->header.hash = Hash128Hex(aBody);
  ticket->header.size = aBody.size();
  ticket->rejection = Recover(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ReadTicket(aNumber, aBody, *ticket));
      return std::string();
    },
    [](const Error& aError) { return aError.detail; });
  ticket->header.valid = ticket->rejection.empty();
  if (!ticket->header.valid) {
    ticket->changes.clear();
    return ticket;
  }
  for (const ObjectChange& change : ticket->changes) {
    ticket->header.touched.push_back(change.key);
  }
  return ticket;
}

Result<TicketNumber>
ReadTicketNumber(std::string_view aBody)
{
  BOOST_LEAF_AUTO(document, ParseJson(aBody));
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(document, "ticket"));
  return reader.Integer("ticket", 1, UINT64_MAX - 1);
}

} // namespace yp
