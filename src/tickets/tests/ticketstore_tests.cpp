#include "tickets/tickets.h"
#include "ticketsamples.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace yp;
using nlohmann::json;

namespace {

struct Fixture
{
  ManualClock clock;
  std::unique_ptr<ITicketStore> store = MakeTicketStore(this->clock);

  AddResult Add(const json& aTicket)
  {
    return this->store->Add(aTicket["ticket"].get<TicketNumber>(), aTicket.dump(), "test");
  }
};

std::uint32_t
Slots(const ITicketStore& aStore, const std::string& aService)
{
  const Ref<const ServiceSpec> service = aStore.State()->FindService(aService);
  return service ? service->slots : 0;
}

} // namespace

// Guards against a state in force that skips a change which has not arrived.
TEST_CASE("a ticket behind a gap waits until the gap is filled")
{
  Fixture node;
  node.Add(SampleTicket(1, "kiosk", 2));
  node.Add(SampleTicket(3, "kiosk", 4));
  CHECK(node.store->InForce() == 1);
  CHECK(Slots(*node.store, "kiosk") == 2);
  const std::vector<TicketRange> missing = node.store->Missing(8);
  REQUIRE(missing.size() == 1);
  CHECK(missing[0].first == 2);
  CHECK(missing[0].last == 2);
  node.Add(SampleTicket(2, "kiosk", 3));
  CHECK(node.store->InForce() == 3);
  CHECK(Slots(*node.store, "kiosk") == 4);
}

// Guards against a result that depends on the order of arrival, and against any reversal on the way.
TEST_CASE("any order of arrival yields the same state and in force only rises")
{
  std::vector<json> tickets;
  for (std::uint64_t number = 1; number <= 20; ++number) {
    tickets.push_back(number % 7 == 0 ? RemovalTicket(number, "s" + std::to_string(number % 3))
                                      : SampleTicket(number, "s" + std::to_string(number % 3), number));
  }
  tickets[4]["objects"][0]["state"]["slots"] = "broken";
  SeededRandom random(11);
  for (int round = 0; round < 200; ++round) {
    Fixture node;
    std::vector<json> order = tickets;
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random.Below(i)]);
    }
    TicketNumber previous = 0;
    for (const json& ticket : order) {
      node.Add(ticket);
      REQUIRE(node.store->InForce() >= previous);
      previous = node.store->InForce();
    }
    REQUIRE(node.store->InForce() == 20);
    REQUIRE(Slots(*node.store, "s0") == 18);
    REQUIRE(Slots(*node.store, "s1") == 19);
    REQUIRE(Slots(*node.store, "s2") == 20);
  }
}

// Guards against an invalid ticket that blocks later ones or changes anything.
TEST_CASE("an invalid ticket takes its number, is audited with its reason and blocks nothing")
{
  Fixture node;
  node.Add(SampleTicket(1, "kiosk", 2));
  node.store->Add(2, "{", "test");
  node.Add(SampleTicket(3, "kiosk", 5));
  CHECK(node.store->InForce() == 3);
  CHECK(Slots(*node.store, "kiosk") == 5);
  const std::vector<AuditRecord> audit = node.store->Audit();
  CHECK(std::count_if(audit.begin(), audit.end(), [](const AuditRecord& aRecord) {
          return aRecord.ticket == 2 && !aRecord.rejection.empty();
        }) == 1);
}

// Guards against a second body under a known number taking its place.
TEST_CASE("a different body under a known number is a conflict and the first stays")
{
  Fixture node;
  node.Add(SampleTicket(1, "kiosk", 2));
  CHECK(node.Add(SampleTicket(1, "kiosk", 9)) == AddResult::kConflict);
  CHECK(node.Add(SampleTicket(1, "kiosk", 2)) == AddResult::kDuplicate);
  CHECK(Slots(*node.store, "kiosk") == 2);
}

// Guards against a newcomer that misses a removal or takes back a newer ticket.
TEST_CASE("a state transfer brings another node to the same state and never back")
{
  Fixture source;
  json both = SampleTicket(1, "kiosk", 2);
  both["objects"].push_back(SampleTicket(1, "refill", 3)["objects"][0]);
  source.Add(both);
  source.Add(SampleTicket(2, "kiosk", 4));
  source.Add(SampleTicket(3, "returns", 5));
  source.Add(RemovalTicket(4, "returns"));

  Fixture newcomer;
  newcomer.Add(SampleTicket(1, "returns", 1));
  newcomer.Add(SampleTicket(6, "fitter", 6));
  CHECK(newcomer.store->Import(source.store->Export(), "peer"));
  CHECK(newcomer.store->InForce() == 4);
  CHECK(Slots(*newcomer.store, "kiosk") == 4);
  CHECK(Slots(*newcomer.store, "refill") == 3);
  CHECK(Slots(*newcomer.store, "returns") == 0);
  newcomer.Add(SampleTicket(5, "kiosk", 7));
  CHECK(newcomer.store->InForce() == 6);
  CHECK_FALSE(newcomer.store->Import(source.store->Export(), "peer"));
  CHECK(Slots(*newcomer.store, "kiosk") == 7);
  CHECK(newcomer.store->Export().bodies.count(1) == 1);
}

// Guards against serving a superseded object when only the header of its newest ticket is known.
TEST_CASE("an object known by header alone is deferred until its body arrives")
{
  Fixture node;
  node.Add(SampleTicket(1, "kiosk", 2));
  const Ref<const Ticket> second = ParseTicket(2, SampleTicket(2, "kiosk", 8).dump());
  node.store->AddHeader(second->header, "peer");
  CHECK(node.store->InForce() == 2);
  CHECK(node.store->State()->deferred.count({ ObjectKind::kService, "kiosk" }) == 1);
  CHECK(node.store->Add(2, second->body, "peer") == AddResult::kAdded);
  CHECK(node.store->State()->deferred.empty());
  CHECK(Slots(*node.store, "kiosk") == 8);
}
