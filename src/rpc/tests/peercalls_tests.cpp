#include "fakepeernetwork.h"
#include "framework/global/tests/faketimers.h"
#include "rpc/internal/callmessages.h"
#include "rpc/rpc.h"
#include <catch2/catch.hpp>
#include <memory>

using namespace yp;

namespace {

const Endpoint kFirst{ "127.0.0.1", 1 };
const Endpoint kSecond{ "127.0.0.2", 1 };

struct Fixture
{
  ManualClock clock;
  FakeTimers timers{ this->clock };
  FakePeerFabric fabric{ this->timers, this->clock };
  FakePeerNetwork firstNetwork{ this->fabric, kFirst };
  FakePeerNetwork secondNetwork{ this->fabric, kSecond };
  std::unique_ptr<IPeerCalls> first = MakePeerCalls(this->firstNetwork, this->timers, this->clock);
  std::unique_ptr<IPeerCalls> second = MakePeerCalls(this->secondNetwork, this->timers, this->clock);
  std::vector<std::variant<std::string, Error>> replies;

  void Call(const std::string& aMethod, const std::string& aPayload)
  {
    this->first->Call(
      kSecond, aMethod, aPayload, this->clock.Now() + std::chrono::milliseconds(100), [this](auto aReply) {
        this->replies.push_back(std::move(aReply));
      });
  }

  ErrorCode CodeOf(std::size_t aIndex) const { return std::get<Error>(this->replies.at(aIndex)).code; }
};

} // namespace

// Guards against a reply that reaches another call when replies come in another order.
TEST_CASE("crossed replies reach their own calls")
{
  Fixture nodes;
  std::vector<std::pair<std::string, IPeerCalls::Respond>> held;
  nodes.second->Serve("echo", [&](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    held.emplace_back(aPayload, aRespond);
  });
  nodes.Call("echo", "one");
  nodes.Call("echo", "two");
  nodes.timers.RunFor(std::chrono::milliseconds(10));
  REQUIRE(held.size() == 2);
  held[1].second(held[1].first);
  held[0].second(held[0].first);
  nodes.timers.RunFor(std::chrono::milliseconds(10));
  REQUIRE(nodes.replies.size() == 2);
  CHECK(std::get<std::string>(nodes.replies[0]) == "two");
  CHECK(std::get<std::string>(nodes.replies[1]) == "one");
}

// Guards against telling "not delivered" when the call may have been delivered, and the other way round.
TEST_CASE("the error tells whether the call may have been delivered")
{
  Fixture nodes;
  nodes.second->Serve("silent", [](const std::string&, IPeerCalls::Respond) {});
  nodes.Call("unknown", "");
  nodes.Call("silent", "");
  nodes.timers.RunFor(std::chrono::milliseconds(200));
  REQUIRE(nodes.replies.size() == 2);
  CHECK(nodes.CodeOf(0) == ErrorCode::kUnavailable);
  CHECK(nodes.CodeOf(1) == ErrorCode::kTimeout);
  nodes.Call("silent", "");
  nodes.timers.RunFor(std::chrono::milliseconds(10));
  nodes.fabric.MakeUnreachable(kSecond);
  nodes.timers.RunFor(std::chrono::milliseconds(10));
  CHECK(nodes.CodeOf(2) == ErrorCode::kConnection);
  nodes.Call("silent", "");
  nodes.timers.RunFor(std::chrono::milliseconds(10));
  CHECK(nodes.CodeOf(3) == ErrorCode::kUnavailable);
  CHECK(nodes.first->Pending() == 0);
}

// Guards against a crash or a wrong reading of damaged messages from a peer.
TEST_CASE("damaged call messages are refused")
{
  const std::string whole = Encode(CallMessage{ 7, "echo", "payload" });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const bool refused = Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeCall(whole.substr(0, size)));
        return false;
      },
      [](const Error&) { return true; });
    CHECK(refused);
  }
}
