#include "tickets/tickets.h"
#include "ticketsamples.h"
#include <catch2/catch.hpp>
#include <functional>

using namespace yp;
using nlohmann::json;

namespace {

std::string
RejectionAfter(const std::function<void(json&)>& aDamage)
{
  json ticket = SampleTicket(1);
  aDamage(ticket);
  return ParseTicket(1, ticket.dump())->rejection;
}

} // namespace

TEST_CASE("a whole service is read with every field")
{
  const Ref<const Ticket> ticket = ParseTicket(1, SampleTicket(1).dump());
  REQUIRE(ticket->rejection.empty());
  const Ref<const ServiceSpec> service = ticket->changes.at(0).service;
  CHECK(service->connections == 25);
  CHECK(service->FindLayout(1)->TotalWeight() == 40);
  CHECK(service->leafs.at(1).endpoint.port == 9002);
  CHECK(ticket->header.touched.at(0) == ObjectKey{ ObjectKind::kService, "kiosk" });
}

// Guards against operators having to guess which part of a ticket is wrong, and against lenient reading.
TEST_CASE("a rejection names the path inside the ticket")
{
  const std::vector<std::pair<std::string, std::function<void(json&)>>> cases = {
    { "objects[0].state.slots", [](json& aTicket) { aTicket["objects"][0]["state"]["slots"] = 0; } },
    { "objects[0].state.connections",
      [](json& aTicket) { aTicket["objects"][0]["state"].erase("connections"); } },
    { "objects[0].state.colour", [](json& aTicket) { aTicket["objects"][0]["state"]["colour"] = 1; } },
    { "objects[0].state.leafs[1].shard",
      [](json& aTicket) { aTicket["objects"][0]["state"]["leafs"][1]["shard"] = 7; } },
    { "objects[0].state.leafs[1].leaf",
      [](json& aTicket) { aTicket["objects"][0]["state"]["leafs"][1]["leaf"] = "a"; } },
    { "objects[0].state.leafs[0].address",
      [](json& aTicket) { aTicket["objects"][0]["state"]["leafs"][0]["address"] = "localhost"; } },
    { "objects[0].kind", [](json& aTicket) { aTicket["objects"][0]["kind"] = "servce"; } },
    { "objects[1].name", [](json& aTicket) { aTicket["objects"].push_back(aTicket["objects"][0]); } },
    { "ticket.ticket", [](json& aTicket) { aTicket["ticket"] = 2; } },
    { "ticket.objects", [](json& aTicket) { aTicket["objects"] = json::array(); } },
    { "ticket.objects", [](json& aTicket) { aTicket["objects"] = "none"; } }
  };
  for (const auto& item : cases) {
    INFO(item.first);
    CHECK(RejectionAfter(item.second).rfind(item.first + ":", 0) == 0);
  }
}

// Guards against a crash or a node-dependent verdict for damaged bytes.
TEST_CASE("damaged bytes are rejected and change nothing")
{
  const std::string whole = SampleTicket(1).dump();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    REQUIRE_FALSE(ParseTicket(1, whole.substr(0, size))->header.valid);
  }
  CHECK_FALSE(ParseTicket(1, whole + std::string(1024 * 1024, ' '))->header.valid);
  CHECK_FALSE(ParseTicket(1, "{\"ticket\":1,\"ticket\":1,\"objects\":[]}")->header.valid);
  CHECK(ParseTicket(1, "[]")->changes.empty());
}
