#include "gateway/tests/fakeexchange.h"
#include <algorithm>
#include <catch2/catch.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("The longest prefix of a host's routes is matched", "[routing]")
{
  const Ref<RoutingState> state(new RoutingState);
  for (const char* prefix : { "/", "/a/", "/a/b/" }) {
    RouteSpec route;
    route.name = prefix;
    route.host = "h";
    route.pathPrefix = prefix;
    state->routes.push_back(route);
  }
  state->Index();
  REQUIRE(state->Match("h", "/a/b/c")->name == "/a/b/");
  REQUIRE(state->Match("h", "/a/bb")->name == "/a/");
  REQUIRE(state->Match("h", "/x")->name == "/");
  REQUIRE(state->Match("other", "/a/") == nullptr);
}

TEST_CASE("Without a configuration a request is refused and not called unknown", "[gateway]")
{
  ManualClock clock;
  FakeTimers timers(clock);
  SeededRandom random(1);
  FakeExchange exchange(clock, timers);
  LeafDirectory leafs(clock);
  const auto gateway = MakeGateway({ exchange, leafs, timers, clock, random }, {});
  std::vector<GatewayReply> replies;
  auto message = std::make_shared<ForwardedRequest>();
  message->target = "/x/";
  gateway->Start({ message, "host", seconds(1) }, [&](GatewayReply aReply) { replies.push_back(aReply); });
  REQUIRE(replies.size() == 1);
  REQUIRE(replies[0].outcome == GatewayOutcome::kRefused);
  REQUIRE(replies[0].retryAfter > Duration::zero());
}

TEST_CASE("A configuration never goes back to an older version", "[gateway]")
{
  GatewayWorld world;
  REQUIRE(world.gateway->SetRouting(GatewayWorld::MakeRouting(9)));
  REQUIRE_FALSE(world.gateway->SetRouting(GatewayWorld::MakeRouting(8)));
  REQUIRE(world.gateway->Routing()->version == 9);
}

TEST_CASE("A split gets its weights exactly, whatever the node's share of the requests", "[gateway]")
{
  GatewayWorld world;
  const Ref<RoutingState> state = GatewayWorld::MakeRouting(2);
  RouteSpec split = state->routes[1];
  split.name = "split";
  split.pathPrefix = "/split/";
  split.service.clear();
  split.split = { { "plain", 3 }, { "other", 1 } };
  state->routes.push_back(split);
  state->Index();
  world.gateway->SetRouting(state);
  world.AddLeaf("other-a", "other", "a");
  for (int i = 0; i < 400; ++i) {
    world.Ask("/split/x");
    world.timers.RunFor(milliseconds(20));
  }
  REQUIRE(world.exchange.CountSent("other-a") == 100);
}

TEST_CASE("A non-idempotent request whose answer was lost is not repeated and not called not run", "[once]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kLost);
  world.Ask("/once/x");
  world.timers.RunFor(seconds(2));
  REQUIRE(world.exchange.sent.size() == 1);
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kFailed);
}

TEST_CASE("A non-idempotent request at a silent leaf is never repeated", "[once][pauses]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  world.Ask("/once/x", milliseconds(3000));
  world.timers.RunFor(seconds(4));
  REQUIRE(world.exchange.sent.size() == 1);
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kTimedOut);
}

TEST_CASE("A non-idempotent request that a leaf refused is sent to another one", "[once]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.outcome = aLeaf == "plain-a" ? LeafOutcome::kNotRun : LeafOutcome::kAnswered;
    return answer;
  };
  world.Ask("/once/x");
  world.timers.RunFor(seconds(1));
  REQUIRE(world.exchange.sent.size() == 2);
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kPassed);
}

TEST_CASE("A request that all leafs refused is refused with a time to return", "[refusal]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kNotRun);
  world.Ask("/once/x");
  world.timers.RunFor(seconds(1));
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kRefused);
  REQUIRE(world.replies.at(0).retryAfter > Duration::zero());
}

TEST_CASE("A leaf's own failure reaches the caller when the request may not be repeated", "[once]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string&) {
    FakeAnswer answer;
    answer.outcome = LeafOutcome::kFailed;
    answer.status = 500;
    return answer;
  };
  world.Ask("/once/x");
  world.timers.RunFor(seconds(1));
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kPassed);
  REQUIRE(world.replies.at(0).response.status == 500);
}

TEST_CASE("An idempotent request whose answer was lost is repeated within its attempts", "[retry]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kLost);
  world.Ask("/one/x");
  world.timers.RunFor(seconds(2));
  REQUIRE(world.exchange.sent.size() == 2);
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kFailed);
}

TEST_CASE("A request is answered by the time that its route allows", "[deadline]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  const TimePoint start = world.clock.Now();
  world.Ask("/one/x", seconds(20));
  world.timers.RunFor(seconds(10));
  REQUIRE(world.replies.at(0).outcome == GatewayOutcome::kTimedOut);
  REQUIRE(world.repliedAt - start == milliseconds(4000));
  REQUIRE(world.exchange.open.empty());
}

TEST_CASE("Draining and withdrawn leafs get no new requests", "[drain]")
{
  GatewayWorld world;
  LeafRegistration draining = world.leafs.Leafs("plain")[0]->registration;
  draining.draining = true;
  world.leafs.Apply(draining);
  for (int i = 0; i < 20; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(20));
  }
  REQUIRE(world.exchange.CountSent("plain-a") == 0);
  world.leafs.Remove("plain-b");
  world.Ask("/one/x");
  REQUIRE(world.replies.back().outcome == GatewayOutcome::kRefused);
}

TEST_CASE("A leaf whose address was taken by another service gets no requests", "[reuse]")
{
  GatewayWorld world;
  LeafRegistration taker = world.leafs.Leafs("plain")[0]->registration;
  taker.id = "taker";
  taker.service = "elsewhere";
  world.leafs.Apply(taker);
  for (int i = 0; i < 10; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(20));
  }
  REQUIRE(world.exchange.CountSent("plain-a") == 0);
}

TEST_CASE("A leaf that starts again under its id begins without its predecessor's state", "[reuse]")
{
  GatewayWorld world;
  const Ref<LeafHandle> before = world.leafs.Leafs("plain")[0];
  LeafRegistration again = before->registration;
  again.startTimeMs = 5;
  REQUIRE(world.leafs.Apply(again));
  REQUIRE(before->withdrawn);
  REQUIRE(world.leafs.Leafs("plain").size() == 2);
}

TEST_CASE("Repeated requests stay within the fleet's bound for each service", "[budget]")
{
  GatewayWorld world;
  // Does not exclude the leaf, so that only the budget limits.
  world.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  constexpr int kRequests = 900; // 10 s at 90 requests a second
  constexpr double kBound = 0.2 * kRequests + 54;
  for (int i = 0; i < kRequests; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(11));
  }
  const double extra = static_cast<double>(world.exchange.sent.size()) - kRequests;
  REQUIRE(extra <= kBound);
}

TEST_CASE("A node's part of the extra load shrinks with its share of the fleet", "[budget]")
{
  GatewayWorld world;
  world.gateway->SetExtraLoadShare(0.1);
  // Does not exclude the leaf, so that only the budget limits.
  world.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  for (int i = 0; i < 100; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(10));
  }
  REQUIRE(world.gateway->Stats().extraCalls <= 0.2 * 100 + 5.4);
}

TEST_CASE("A changed bound on extra load holds for what comes after it", "[budget][settings]")
{
  GatewayWorld world;
  GatewayOptions options;
  options.extraLoadRatio = 0;
  options.extraLoadSlack = 0;
  world.gateway->SetOptions(options);
  world.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  for (int i = 0; i < 100; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(10));
  }
  REQUIRE(world.gateway->Stats().extraCalls <= 1);
}

TEST_CASE("A request whose leafs are all out of reach is refused at once", "[refusal][dark]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kNotSent, milliseconds(1));
  for (int i = 0; i < 5; ++i) {
    world.Ask("/one/x");
    world.timers.RunFor(milliseconds(10));
  }
  const std::size_t sent = world.exchange.sent.size();
  world.Ask("/one/x");
  REQUIRE(world.replies.back().outcome == GatewayOutcome::kRefused);
  REQUIRE(world.exchange.sent.size() == sent);
}

TEST_CASE("Calls that pile up at a slow leaf exclude it once and not for longer each", "[dark][slow]")
{
  GatewayWorld world;
  const Ref<LeafHandle> leaf = world.leafs.Leafs("plain")[0];
  std::vector<std::unique_ptr<OutstandingCall>> calls;
  for (int i = 0; i < 8; ++i) {
    calls.push_back(std::make_unique<OutstandingCall>());
    leaf->condition.OnSend(*calls.back(), world.clock.Now());
  }
  const TimePoint sent = world.clock.Now();
  world.clock.Advance(milliseconds(400));
  for (int i = 0; i < 8; ++i) {
    leaf->condition.OnUnreachable(sent, world.clock.Now());
    world.clock.Advance(milliseconds(5));
  }
  REQUIRE_FALSE(leaf->condition.Excluded(world.clock.Now() + milliseconds(260)));
}

} // namespace yp
