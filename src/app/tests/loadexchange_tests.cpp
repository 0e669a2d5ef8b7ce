#include "app/internal/historyexchange.h"

#include "app/internal/loadexchange.h"
#include "framework/global/tests/faketimers.h"
#include "placement/placement.h"
#include "rpc/rpc.h"
#include "rpc/tests/fakepeernetwork.h"
#include <catch2/catch.hpp>
#include <memory>

using namespace yp;

namespace {

/// Two nodes that hold connections to the same service.
struct Pair
{
  Pair()
  {
    for (const char* host : { "a", "b" }) {
      MemberStatus member;
      member.record.host = host;
      member.record.peerEndpoint = { "127.0.0.1", static_cast<std::uint16_t>(host[0]) };
      this->view.members.push_back(member);
    }
    ServicePlacement& held = this->placement.services["kiosk"];
    held.holders = { "a", "b" };
    held.ownConnections["leaf"] = 1;
  }

  void Round(std::set<std::string> aDrainingAtA)
  {
    this->a.Exchange(0.7, std::move(aDrainingAtA), this->placement, this->view);
    this->timers.RunFor(std::chrono::milliseconds(100));
  }

  ManualClock clock;
  FakeTimers timers{ this->clock };
  FakePeerFabric fabric{ this->timers, this->clock };
  FakePeerNetwork networkA{ this->fabric, { "127.0.0.1", 'a' } };
  FakePeerNetwork networkB{ this->fabric, { "127.0.0.1", 'b' } };
  std::unique_ptr<IPeerCalls> callsA = MakePeerCalls(this->networkA, this->timers, this->clock);
  std::unique_ptr<IPeerCalls> callsB = MakePeerCalls(this->networkB, this->timers, this->clock);
  SeededRandom random{ 1 };
  LoadExchange a{ *this->callsA, this->clock, this->random, "a" };
  LoadExchange b{ *this->callsB, this->clock, this->random, "b" };
  Placement placement;
  MemberView view;
};

using Servers = std::set<std::string>;

} // namespace

// Guards against a leaving server that gets work from the nodes which have not yet had a reply from it.
TEST_CASE("a draining server that one node saw is known to the others and forgotten after it stops")
{
  Pair nodes;
  nodes.Round({ "server-1" });
  CHECK(nodes.b.DrainingServers() == Servers{ "server-1" });
  CHECK(nodes.b.Loads().at("a").utilisation == 0.7);
  for (int i = 0; i < 10; ++i) {
    // What b only heard must not come back to a as news, or it would never be forgotten.
    nodes.Round({});
    nodes.b.Exchange(0.1, {}, nodes.placement, nodes.view);
    nodes.timers.RunFor(std::chrono::seconds(1));
  }
  CHECK(nodes.b.DrainingServers().empty());
  CHECK(nodes.a.DrainingServers().empty());
}

// Guards against a restarted node that misreads its neighbour's history.
TEST_CASE("a placement history survives the way between nodes and damaged ones are refused")
{
  const PlacementHistory history{ "centrs", { { std::chrono::seconds(3), { "a", "b" } }, { {}, { "a" } } } };
  const std::string bytes = EncodeHistory(history);
  const auto decode = [](const std::string& aBytes) {
    return Recover([&] { return DecodeHistory(aBytes); },
                   [](const Error&) {
                     return PlacementHistory{ "bad", {} };
                   });
  };
  const PlacementHistory copy = decode(bytes);
  CHECK(copy.failureDomain == "centrs");
  REQUIRE(copy.sets.size() == 2);
  CHECK(copy.sets[0].hosts == std::vector<std::string>{ "a", "b" });
  CHECK(copy.sets[0].age == std::chrono::seconds(3));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    REQUIRE(decode(bytes.substr(0, size)).failureDomain == "bad");
  }
}

// Guards against a failure domain without service for the growth delay when all of its nodes start together.
TEST_CASE("nodes that start together take their shares at once, and a lone one only its own")
{
  const bool neighbourAnswers = GENERATE(true, false);
  Pair nodes;
  for (MemberStatus& member : nodes.view.members) {
    member.record.failureDomain = "centrs";
  }
  nodes.view.self = "a";
  const auto plannerA = MakePlacementPlanner();
  const auto plannerB = MakePlacementPlanner();
  HistoryExchange a(*nodes.callsA, nodes.clock, *plannerA, "a");
  std::unique_ptr<HistoryExchange> b;
  if (neighbourAnswers) {
    b = std::make_unique<HistoryExchange>(*nodes.callsB, nodes.clock, *plannerB, "b");
  } else {
    nodes.fabric.MakeUnreachable({ "127.0.0.1", 'b' });
  }
  for (int i = 0; i < 50 && !a.Settle(nodes.view); ++i) {
    nodes.timers.RunFor(std::chrono::milliseconds(100));
  }
  REQUIRE(a.Settle(nodes.view));

  TicketState state;
  Ref<FleetSpec> fleet(new FleetSpec);
  fleet->failureDomains = { { "centrs", "riga" } };
  state.fleet = fleet;
  Ref<ServiceSpec> service(new ServiceSpec);
  service->name = "kiosk";
  service->connections = 25;
  service->layouts = { { 1, { { 0, 10 } } } };
  service->leafs = { { "leaf", "server", { "127.0.0.1", 9000 }, "centrs", 1, 0 } };
  state.services["kiosk"] = service;
  const Ref<const Placement> placement = plannerA->Plan(state, nodes.view, nodes.clock.Now());
  REQUIRE(placement->Holds("kiosk"));
  CHECK(placement->services.at("kiosk").ownConnections.at("leaf") == 10);
}
