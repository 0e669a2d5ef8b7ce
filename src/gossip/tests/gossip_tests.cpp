#include "gossip/tests/fakefleet.h"
#include <catch2/catch.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<PeerRecord>
ReadyPeers(const FakeFleet& aFleet, std::size_t aCount)
{
  std::vector<PeerRecord> peers;
  for (std::size_t i = 0; i < aCount; ++i) {
    peers.push_back(aFleet.Record(i));
    peers.back().state = PeerState::kReady;
  }
  return peers;
}

} // namespace

TEST_CASE("Nodes that start together know each other within a second", "[gossip]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(1));
  for (std::size_t i = 0; i < 8; ++i) {
    REQUIRE(fleet.AllSee(i, PeerState::kReady));
  }
}

TEST_CASE("Eighty nodes know each other within three seconds", "[gossip][scale]")
{
  FakeFleet fleet;
  fleet.StartAll(80);
  fleet.timers.RunFor(seconds(3));
  for (std::size_t i = 0; i < 80; ++i) {
    REQUIRE(fleet.AllSee(i, PeerState::kReady));
  }
}

TEST_CASE("A killed node is seen down by all within two seconds", "[gossip]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(2));
  fleet.Kill(5);
  fleet.timers.RunFor(seconds(2));
  REQUIRE(fleet.AllSee(5, PeerState::kDown));
}

TEST_CASE("A leaving node is not given out soon after it says so", "[gossip][drain]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(2));
  fleet.Gossip(3).SetOwnState(PeerState::kLeaving);
  fleet.timers.RunFor(milliseconds(100));
  REQUIRE(fleet.AllSee(3, PeerState::kLeaving));
}

TEST_CASE("A node that was cut off is seen up again within three seconds", "[gossip][partition]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(2));
  fleet.cut.insert(FakeFleet::Address(6));
  fleet.timers.RunFor(seconds(5));
  REQUIRE(fleet.StateAt(0, 6) == PeerState::kDown);
  fleet.cut.clear();
  fleet.timers.RunFor(seconds(3));
  REQUIRE(fleet.AllSee(6, PeerState::kReady));
}

// Guards against two groups that started from different seeds and never meet.
TEST_CASE("New seeds join two groups of nodes that did not know each other", "[gossip][settings]")
{
  FakeFleet fleet;
  fleet.seeds = { FakeFleet::Address(0) };
  fleet.StartNode(0);
  fleet.StartNode(1);
  fleet.seeds = { FakeFleet::Address(2) };
  fleet.StartNode(2);
  fleet.StartNode(3);
  fleet.timers.RunFor(seconds(3));
  REQUIRE(fleet.Gossip(0).Peers().size() == 2);
  fleet.Gossip(1).SetSeeds({ FakeFleet::Address(3) });
  fleet.timers.RunFor(seconds(2));
  for (std::size_t host = 0; host < 4; ++host) {
    REQUIRE(fleet.AllSee(host, PeerState::kReady));
  }
}

TEST_CASE("A node whose clock was set back joins again after a restart", "[gossip][clock]")
{
  FakeFleet fleet;
  fleet.seeds = { FakeFleet::Address(0), FakeFleet::Address(1) };
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.StartNode(i, 1000000);
  }
  fleet.timers.RunFor(seconds(2));
  fleet.Kill(3);
  fleet.timers.RunFor(seconds(3));
  fleet.StartNode(3, 5);
  fleet.timers.RunFor(seconds(3));
  REQUIRE(fleet.AllSee(3, PeerState::kReady));
}

TEST_CASE("All nodes killed at once find each other again", "[gossip]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(2));
  for (std::size_t i = 0; i < 8; ++i) {
    fleet.Kill(i);
  }
  fleet.timers.RunFor(seconds(1));
  for (std::size_t i = 0; i < 8; ++i) {
    fleet.StartNode(i, 2);
  }
  fleet.timers.RunFor(seconds(1));
  for (std::size_t i = 0; i < 8; ++i) {
    REQUIRE(fleet.AllSee(i, PeerState::kReady));
  }
}

TEST_CASE("The fleet's size does not shrink at once for a node that loses contact", "[gossip][partition]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(2));
  fleet.cut.insert(FakeFleet::Address(6));
  fleet.timers.RunFor(seconds(5));
  REQUIRE(fleet.Gossip(6).FleetSize() == 8);
}

TEST_CASE("Gossip of a node does not grow with the fleet", "[gossip][scale]")
{
  const auto perNode = [](std::size_t aCount) {
    FakeFleet fleet;
    fleet.StartAll(aCount);
    fleet.timers.RunFor(seconds(5));
    const std::uint64_t before = fleet.datagrams;
    fleet.timers.RunFor(seconds(10));
    return static_cast<double>(fleet.datagrams - before) / static_cast<double>(aCount);
  };
  REQUIRE(perNode(80) < 1.5 * perNode(8));
}

TEST_CASE("A node that restarts does not make others send their whole tables", "[gossip][scale]")
{
  FakeFleet fleet;
  fleet.StartAll(80);
  fleet.timers.RunFor(seconds(6));
  const std::uint64_t before = fleet.bytes;
  for (std::uint64_t run = 2; run < 7; ++run) {
    fleet.Kill(50);
    fleet.StartNode(50, run);
    fleet.timers.RunFor(seconds(1));
  }
  // Control traffic of a node: 3 KB/s in and out.
  REQUIRE(static_cast<double>(fleet.bytes - before) / 5 / 80 < 3000);
}

TEST_CASE("Bytes that are no message are dropped", "[gossip]")
{
  FakeFleet fleet;
  fleet.StartAll(2);
  fleet.Gossip(0).OnDatagram(FakeFleet::Address(1), "not cbor");
  fleet.Gossip(0).OnDatagram(FakeFleet::Address(1), "");
  fleet.timers.RunFor(seconds(1));
  REQUIRE(fleet.AllSee(1, PeerState::kReady));
}

TEST_CASE("Callers are sent to the large nodes while these hold enough of the capacity", "[steering]")
{
  FakeFleet fleet;
  const EntryPlan plan = PlanEntries(ReadyPeers(fleet, 79), {});
  REQUIRE(plan.entries.size() == 8);
  REQUIRE(plan.includesOwn);
}

TEST_CASE("Small nodes take over when most large ones are down", "[steering]")
{
  FakeFleet fleet;
  std::vector<PeerRecord> peers = ReadyPeers(fleet, 79);
  for (std::size_t i = 0; i < 6; ++i) {
    peers[i].state = PeerState::kDown;
  }
  REQUIRE(PlanEntries(peers, {}).entries.size() == 73);
}

TEST_CASE("Large nodes in domains without leafs are left out while the others suffice", "[steering]")
{
  FakeFleet fleet;
  EntryPolicy policy;
  policy.coverage = { { "a", 0.75 }, { "b", 0.75 }, { "c", 0.75 } };
  const EntryPlan plan = PlanEntries(ReadyPeers(fleet, 79), policy);
  REQUIRE(plan.entries.size() == 6);
}

TEST_CASE("Leaving and down nodes are not given out", "[steering][drain]")
{
  FakeFleet fleet;
  std::vector<PeerRecord> peers = ReadyPeers(fleet, 4);
  peers[1].state = PeerState::kLeaving;
  peers[2].state = PeerState::kDown;
  REQUIRE(PlanEntries(peers, {}).entries.size() == 2);
}

TEST_CASE("A node that hears nobody gives out the others too", "[steering][partition]")
{
  FakeFleet fleet;
  std::vector<PeerRecord> peers = ReadyPeers(fleet, 4);
  for (std::size_t i = 1; i < 4; ++i) {
    peers[i].state = PeerState::kDown;
  }
  REQUIRE(PlanEntries(peers, {}).entries.size() == 4);
}

TEST_CASE("Addresses are drawn by capacity and from the caller's region", "[steering]")
{
  FakeFleet fleet;
  std::vector<PeerRecord> peers = ReadyPeers(fleet, 2);
  peers[0].capacity = 900;
  peers[1].capacity = 500;
  std::size_t first = 0;
  const EntryPlan plan = PlanEntries(peers, {});
  for (int i = 0; i < 1000; ++i) {
    first += DrawEntries(plan, "region", fleet.random).front() == peers[0].callerEndpoint ? 1 : 0;
  }
  REQUIRE(first > 580);
  REQUIRE(first < 700);
  peers[1].region = "elsewhere";
  REQUIRE(DrawEntries(PlanEntries(peers, {}), "region", fleet.random).size() == 1);
  REQUIRE(DrawEntries(PlanEntries(peers, {}), "unknown", fleet.random).size() == 2);
}

TEST_CASE("Five of eight nodes that lose power at once are soon given out no more", "[steering][power]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(5));
  for (std::size_t i = 3; i < 8; ++i) {
    fleet.Kill(i);
  }
  fleet.timers.RunFor(milliseconds(900));
  for (std::size_t viewer = 0; viewer < 3; ++viewer) {
    REQUIRE(PlanEntries(fleet.Gossip(viewer).Peers(), {}).entries.size() == 3);
  }
}

TEST_CASE("A node that froze does not take the others for lost when it wakes", "[steering][freeze]")
{
  FakeFleet fleet;
  fleet.StartAll(8);
  fleet.timers.RunFor(seconds(5));
  fleet.clock.Advance(seconds(4));
  fleet.timers.RunFor(milliseconds(20));
  REQUIRE(PlanEntries(fleet.Gossip(0).Peers(), {}).entries.size() == 8);
}

} // namespace yp
