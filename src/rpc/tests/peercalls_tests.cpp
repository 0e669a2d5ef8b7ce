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

// Guards against replies passed to the wrong call when they arrive in another order than the calls were made.
TEST_CASE("replies in a different order reach the matching calls")
{
  Fixture fixture;
  std::vector<std::pair<std::string, IPeerCalls::Respond>> receivedCalls;
  fixture.second->Serve("echo", [&](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    receivedCalls.emplace_back(aPayload, aRespond);
  });
  fixture.Call("echo", "one");
  fixture.Call("echo", "two");
  fixture.timers.RunFor(std::chrono::milliseconds(10));
  REQUIRE(receivedCalls.size() == 2);
  receivedCalls[1].second(receivedCalls[1].first);
  receivedCalls[0].second(receivedCalls[0].first);
  fixture.timers.RunFor(std::chrono::milliseconds(10));
  REQUIRE(fixture.replies.size() == 2);
  CHECK(std::get<std::string>(fixture.replies[0]) == "two");
  CHECK(std::get<std::string>(fixture.replies[1]) == "one");
}

// Guards against an error that reports "not delivered" for a call that may have been delivered, or the
// reverse.
TEST_CASE("the error code shows whether the call may have been delivered")
{
  Fixture fixture;
  fixture.second->Serve("silent", [](const std::string&, IPeerCalls::Respond) {});
  fixture.Call("unknown", "");
  fixture.Call("silent", "");
  fixture.timers.RunFor(std::chrono::milliseconds(200));
  REQUIRE(fixture.replies.size() == 2);
  CHECK(fixture.CodeOf(0) == ErrorCode::kUnavailable);
  CHECK(fixture.CodeOf(1) == ErrorCode::kTimeout);
  fixture.Call("silent", "");
  fixture.timers.RunFor(std::chrono::milliseconds(10));
  fixture.fabric.MakeUnreachable(kSecond);
  fixture.timers.RunFor(std::chrono::milliseconds(10));
  CHECK(fixture.CodeOf(2) == ErrorCode::kConnection);
  fixture.Call("silent", "");
  fixture.timers.RunFor(std::chrono::milliseconds(10));
  CHECK(fixture.CodeOf(3) == ErrorCode::kUnavailable);
  CHECK(fixture.first->Pending() == 0);
}

// Guards against a crash on, or acceptance of, a truncated message from a peer.
TEST_CASE("truncated call messages are rejected")
{
  const std::string complete = Encode(CallMessage{ 7, "echo", "payload" });
  for (std::size_t size = 0; size < complete.size(); ++size) {
    const bool rejected = Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeCall(complete.substr(0, size)));
        return false;
      },
      [](const Error&) { return true; });
    CHECK(rejected);
  }
}
