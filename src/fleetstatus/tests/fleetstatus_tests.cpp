#include "fleetstatus/fleetstatus.h"
#include "fleetstatus/internal/statusmessages.h"
#include "framework/global/tests/faketimers.h"
#include "rpc/rpc.h"
#include "rpc/tests/fakepeernetwork.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace yp;

namespace {

Endpoint
PeerOf(std::size_t aIndex)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(1000 + aIndex) };
}

std::string
HostOf(std::size_t aIndex)
{
  const std::string number = std::to_string(aIndex);
  return "h" + std::string(4 - number.size(), '0') + number;
}

/// A fleet of collectors over a fake network.
struct Fleet
{
  explicit Fleet(std::size_t aNodes)
  {
    Ref<MemberView> view(new MemberView);
    for (std::size_t i = 0; i < aNodes; ++i) {
      MemberStatus member;
      member.record.host = HostOf(i);
      member.record.failureDomain = "d" + std::to_string(i % 3);
      member.record.peerEndpoint = PeerOf(i);
      view->members.push_back(member);
    }
    this->members.Publish(view);
    for (std::size_t i = 0; i < aNodes; ++i) {
      this->networks.push_back(std::make_unique<FakePeerNetwork>(this->fabric, PeerOf(i)));
      this->calls.push_back(MakePeerCalls(*this->networks.back(), this->timers, this->clock));
      this->collectors.push_back(MakeFleetStatus({ *this->calls.back(), this->clock, this->members, [i] {
                                                    return NodeReport{ HostOf(i), "", "ready", 17, 17 };
                                                  } }));
    }
  }

  std::size_t CallsSentBy(std::size_t aIndex) const
  {
    const auto& types = this->networks.at(aIndex)->sentTypes;
    return static_cast<std::size_t>(std::count(types.begin(), types.end(), "call"));
  }

  ManualClock clock;
  FakeTimers timers{ this->clock };
  FakePeerFabric fabric{ this->timers, this->clock };
  BlackboardEntry<MemberView> members;
  std::vector<std::unique_ptr<FakePeerNetwork>> networks;
  std::vector<std::unique_ptr<IPeerCalls>> calls;
  std::vector<std::unique_ptr<IFleetStatus>> collectors;
};

} // namespace

// Guards against a report that leaves nodes out, and against one node having to call all others.
TEST_CASE("any node reports on the whole fleet with about sqrt(N) calls a node")
{
  Fleet fleet(400);
  std::vector<FleetRow> rows;
  fleet.collectors[123]->Collect([&rows](const std::vector<FleetRow>& aRows) { rows = aRows; });
  fleet.timers.RunFor(std::chrono::seconds(1));
  REQUIRE(rows.size() == 400);
  CHECK(std::all_of(
    rows.begin(), rows.end(), [](const FleetRow& aRow) { return aRow.heard && aRow.report.inForce == 17; }));
  for (std::size_t i = 0; i < 400; ++i) {
    REQUIRE(fleet.CallsSentBy(i) <= 21);
  }
}

// Guards against a lost delegate hiding its group, and against a dead node shown as heard.
TEST_CASE("a lost node is listed as not heard and its group is still reported")
{
  Fleet fleet(50);
  fleet.fabric.MakeUnreachable(PeerOf(1));
  std::vector<FleetRow> rows;
  fleet.collectors[0]->Collect([&rows](const std::vector<FleetRow>& aRows) { rows = aRows; });
  fleet.timers.RunFor(std::chrono::seconds(5));
  REQUIRE(rows.size() == 50);
  for (const FleetRow& row : rows) {
    CHECK(row.heard == (row.report.host != HostOf(1)));
  }
}

// Guards against questions that multiply the load when many operators ask at once.
TEST_CASE("questions during a collection share it")
{
  Fleet fleet(20);
  int answered = 0;
  for (int i = 0; i < 10; ++i) {
    fleet.collectors[0]->Collect([&answered](const std::vector<FleetRow>&) { ++answered; });
  }
  fleet.timers.RunFor(std::chrono::milliseconds(500));
  CHECK(answered == 10);
  CHECK(fleet.CallsSentBy(0) <= 5);
}

TEST_CASE("damaged status messages are refused")
{
  const std::string whole = Encode(GroupQuestion{ { { "h", PeerOf(1) } }, std::chrono::seconds(1) });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const bool refused = Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeGroupQuestion(whole.substr(0, size)));
        return false;
      },
      [](const Error&) { return true; });
    CHECK(refused);
  }
}
