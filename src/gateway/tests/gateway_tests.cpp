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

TEST_CASE("Without a configuration a request is refused and not reported as having no route", "[gateway]")
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

TEST_CASE("A configuration is never replaced by an older version", "[gateway]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.gateway->SetRouting(GatewayFixture::MakeRouting(9)));
  REQUIRE_FALSE(fixture.gateway->SetRouting(GatewayFixture::MakeRouting(8)));
  REQUIRE(fixture.gateway->Routing()->version == 9);
}

// Guards against configurations that replace all routes and services again and again and fill a node's
// memory.
TEST_CASE("Nothing is kept for routes and services that the configuration no longer names",
          "[gateway][memory]")
{
  GatewayFixture fixture;
  for (std::uint64_t version = 2; version < 200; ++version) {
    const Ref<RoutingState> state = GatewayFixture::MakeRouting(version);
    for (RouteSpec& route : state->routes) {
      route.name += std::to_string(version);
      route.service += route.service.empty() ? "" : std::to_string(version);
    }
    state->Index();
    fixture.gateway->SetRouting(state);
    for (const char* path : { "/all/x", "/one/x", "/once/x" }) {
      fixture.SendRequest(path);
    }
    fixture.timers.RunFor(milliseconds(50));
  }
  // Three routes, the load of one, and the budgets of 20 shards and a service.
  REQUIRE(fixture.gateway->KeptEntries() <= 3 + 1 + GatewayFixture::kShards + 1);
}

TEST_CASE("A split follows its weights exactly, whatever the node's share of the requests", "[gateway]")
{
  GatewayFixture fixture;
  const Ref<RoutingState> state = GatewayFixture::MakeRouting(2);
  RouteSpec split = state->routes[1];
  split.name = "split";
  split.pathPrefix = "/split/";
  split.service.clear();
  split.split = { { "plain", 3 }, { "other", 1 } };
  state->routes.push_back(split);
  state->Index();
  fixture.gateway->SetRouting(state);
  fixture.AddLeaf("other-a", "other", "a");
  for (int i = 0; i < 400; ++i) {
    fixture.SendRequest("/split/x");
    fixture.timers.RunFor(milliseconds(20));
  }
  REQUIRE(fixture.exchange.CountSent("other-a") == 100);
}

TEST_CASE("A non-idempotent request whose answer was lost fails without being repeated", "[once]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kLost);
  fixture.SendRequest("/once/x");
  fixture.timers.RunFor(seconds(2));
  REQUIRE(fixture.exchange.sent.size() == 1);
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kFailed);
}

TEST_CASE("A non-idempotent request at an unresponsive leaf is never repeated", "[once][pauses]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  fixture.SendRequest("/once/x", milliseconds(3000));
  fixture.timers.RunFor(seconds(4));
  REQUIRE(fixture.exchange.sent.size() == 1);
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kTimedOut);
}

TEST_CASE("A non-idempotent request that a leaf refused is sent to another leaf", "[once]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.outcome = aLeaf == "plain-a" ? LeafOutcome::kNotRun : LeafOutcome::kAnswered;
    return answer;
  };
  fixture.SendRequest("/once/x");
  fixture.timers.RunFor(seconds(1));
  REQUIRE(fixture.exchange.sent.size() == 2);
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kPassed);
}

TEST_CASE("A request that all leafs refused is refused with a retry delay", "[refusal]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kNotRun);
  fixture.SendRequest("/once/x");
  fixture.timers.RunFor(seconds(1));
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.replies.at(0).retryAfter > Duration::zero());
}

TEST_CASE("A leaf's failure response is passed on when the request must not be repeated", "[once]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string&) {
    FakeAnswer answer;
    answer.outcome = LeafOutcome::kFailed;
    answer.status = 500;
    return answer;
  };
  fixture.SendRequest("/once/x");
  fixture.timers.RunFor(seconds(1));
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kPassed);
  REQUIRE(fixture.replies.at(0).response.status == 500);
}

TEST_CASE("An idempotent request whose answer was lost is repeated up to its attempt limit", "[retry]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kLost);
  fixture.SendRequest("/one/x");
  fixture.timers.RunFor(seconds(2));
  REQUIRE(fixture.exchange.sent.size() == 2);
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kFailed);
}

TEST_CASE("A request times out at the timeout of its route", "[deadline]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  const TimePoint start = fixture.clock.Now();
  fixture.SendRequest("/one/x", seconds(20));
  fixture.timers.RunFor(seconds(10));
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kTimedOut);
  REQUIRE(fixture.repliedAt - start == milliseconds(4000));
  REQUIRE(fixture.exchange.pendingCalls.empty());
}

// Guards against requests that a stopping node cuts with no answer when it ends.
TEST_CASE("A node that ends answers what its leafs still work on before it ends", "[stop]")
{
  const std::string path = GENERATE("/one/x", "/once/x", "/all/x");
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  fixture.SendRequest(path, milliseconds(5000));
  fixture.timers.RunFor(milliseconds(100));
  const TimePoint end = fixture.clock.Now() + milliseconds(400);
  fixture.gateway->SetEnd(end);
  fixture.timers.RunFor(milliseconds(400));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kTimedOut);
  REQUIRE(fixture.repliedAt <= end);
}

// Guards against a request that no leaf has got and that ends without a refusal, so that it may not be
// repeated.
TEST_CASE("A node that ends refuses what no leaf has got, in time for another node", "[stop]")
{
  GatewayFixture fixture;
  FakeAnswer slow;
  slow.delay = milliseconds(300);
  fixture.exchange.script = [&slow](const std::string&) { return slow; };
  for (int i = 0; i < 200; ++i) {
    fixture.SendRequest("/once/x", milliseconds(3000));
    fixture.timers.RunFor(milliseconds(310));
  }
  fixture.replies.clear();
  slow.delay = kNever;
  slow.waits = true;
  fixture.SendRequest("/once/x", milliseconds(3000));
  const TimePoint end = fixture.clock.Now() + milliseconds(1000);
  fixture.gateway->SetEnd(end);
  fixture.timers.RunFor(milliseconds(1000));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.replies[0].reason == std::string("stopping"));
  REQUIRE(fixture.repliedAt <= end - milliseconds(250));
  REQUIRE(fixture.exchange.pendingCalls.empty());
}

TEST_CASE("A node that ends refuses a new request that cannot be answered before, without sending it",
          "[stop]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kAnswered, milliseconds(300));
  for (int i = 0; i < 200; ++i) {
    fixture.SendRequest("/once/x", milliseconds(3000));
    fixture.timers.RunFor(milliseconds(310));
  }
  fixture.replies.clear();
  const std::size_t sent = fixture.exchange.sent.size();
  fixture.gateway->SetEnd(fixture.clock.Now() + milliseconds(250));
  fixture.SendRequest("/once/x", milliseconds(3000));
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.exchange.sent.size() == sent);
}

// Guards against a 504, which promises nothing, for a request that no leaf has got when its time is over.
TEST_CASE("A request that waited for a connection until its timeout is refused", "[refusal][deadline]")
{
  GatewayFixture fixture;
  FakeAnswer waiting;
  waiting.delay = kNever;
  waiting.waits = true;
  fixture.exchange.script = [&waiting](const std::string&) { return waiting; };
  fixture.SendRequest("/once/x", milliseconds(2000));
  fixture.timers.RunFor(milliseconds(2000));
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.exchange.pendingCalls.empty());
}

// Guards against new work at a leaf that leaves: it says so in its answers before the store does, or without
// it.
TEST_CASE("A leaf that says in an answer that it leaves gets no new requests", "[drain][leaving]")
{
  const LeafOutcome outcome = GENERATE(LeafOutcome::kAnswered, LeafOutcome::kFailed, LeafOutcome::kNotRun);
  const std::string path = GENERATE("/one/x", "/once/x", "/all/x");
  GatewayFixture fixture;
  std::set<std::string> leaving;
  fixture.exchange.script = [&](const std::string& aLeaf) {
    FakeAnswer answer;
    if (aLeaf == "plain-a" || aLeaf == "shard0-a") {
      leaving.insert(aLeaf);
      answer.notice.leaving = true;
      answer.outcome = outcome;
    }
    return answer;
  };
  for (int i = 0; i < 30; ++i) {
    fixture.SendRequest(path);
    fixture.timers.RunFor(milliseconds(50));
  }
  REQUIRE(leaving.size() == 1);
  REQUIRE(fixture.exchange.CountSent(*leaving.begin()) == 1);
}

TEST_CASE("Once all leafs of a service leave, its requests are refused without being sent",
          "[drain][leaving]")
{
  GatewayFixture fixture;
  FakeAnswer answer;
  answer.notice.leaving = true;
  fixture.exchange.script = [&answer](const std::string&) { return answer; };
  for (int i = 0; i < 5; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(50));
  }
  REQUIRE(fixture.exchange.sent.size() == 2);
  REQUIRE(fixture.replies.back().outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.replies.back().reason == std::string("leafs_leaving"));
}

TEST_CASE("An answer that arrives after its request was answered still says that its leaf leaves",
          "[drain][leaving]")
{
  GatewayFixture fixture;
  fixture.RunQueries(40);
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.delay = milliseconds(aLeaf == "shard0-a" ? 250 : 10);
    answer.notice.leaving = aLeaf == "shard0-a";
    return answer;
  };
  const std::size_t before = fixture.exchange.CountSent("shard0-a");
  while (fixture.exchange.CountSent("shard0-a") == before) {
    fixture.RunQueries(1);
  }
  fixture.timers.RunFor(milliseconds(300));
  fixture.RunQueries(20);
  REQUIRE(fixture.exchange.CountSent("shard0-a") == before + 1);
}

TEST_CASE("Only a new incarnation ends a leaf's leaving", "[drain][leaving]")
{
  GatewayFixture fixture;
  const Ref<LeafHandle> leaf = fixture.leafs.Leafs("plain")[0];
  LeafNotice notice;
  notice.leaving = true;
  leaf->Apply(notice, "request", fixture.clock.Now());
  leaf->Apply({}, "request", fixture.clock.Now());
  REQUIRE_FALSE(leaf->AcceptsRequests());
  LeafRegistration again = leaf->registration;
  again.slots = 3;
  fixture.leafs.Apply(again);
  REQUIRE_FALSE(fixture.leafs.Leafs("plain")[0]->AcceptsRequests());
  again.startTimeMs = 9;
  fixture.leafs.Apply(again);
  REQUIRE(std::count_if(fixture.leafs.Leafs("plain").begin(),
                        fixture.leafs.Leafs("plain").end(),
                        [](const Ref<LeafHandle>& aLeaf) { return aLeaf->AcceptsRequests(); }) == 2);
}

// Guards against requests to a leaf that wants none for a time, and against taking its pause for a failure.
TEST_CASE("A leaf that asks for a pause gets no requests until its end", "[pause]")
{
  const std::string path = GENERATE("/one/x", "/once/x", "/all/x");
  GatewayFixture fixture;
  std::string paused;
  bool pausing = true;
  std::size_t turnedAway = 0;
  fixture.exchange.script = [&](const std::string& aLeaf) {
    FakeAnswer answer;
    if (pausing && (aLeaf == "plain-a" || aLeaf == "shard0-a")) {
      paused = aLeaf;
      ++turnedAway;
      answer.outcome = LeafOutcome::kNotRun;
      answer.notice.pause = seconds(2);
    }
    return answer;
  };
  const auto run = [&](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      fixture.SendRequest(path);
      fixture.timers.RunFor(milliseconds(50));
    }
  };
  while (turnedAway == 0) {
    run(1);
  }
  run(30);
  REQUIRE(turnedAway == 1);
  for (const GatewayReply& reply : fixture.replies) {
    REQUIRE((reply.outcome == GatewayOutcome::kPassed || reply.outcome == GatewayOutcome::kMerged));
    REQUIRE(reply.missing == 0);
  }
  const std::string service = path == "/all/x" ? "shard0" : "plain";
  const Ref<LeafHandle> leaf = fixture.leafs.Leafs(service)[0];
  REQUIRE(leaf->registration.id == paused);
  REQUIRE(leaf->condition.FailureRate(fixture.clock.Now()) == 0);
  REQUIRE_FALSE(leaf->condition.Excluded(fixture.clock.Now()));
  REQUIRE_FALSE(leaf->limit.Bounded());
  pausing = false;
  const std::size_t before = fixture.exchange.CountSent(paused);
  run(60);
  REQUIRE(fixture.exchange.CountSent(paused) > before + 10);
}

// Guards against requests that are held until their deadline, or refused with a time at which nobody serves
// them.
TEST_CASE("Requests are refused until the first leaf returns while all leafs of a service pause",
          "[pause][refusal]")
{
  const std::string path = GENERATE("/one/x", "/once/x", "/all/x");
  GatewayFixture fixture;
  const auto pause = [&](const std::string& aService, std::size_t aLeaf, milliseconds aTime) {
    LeafNotice notice;
    notice.pause = aTime;
    fixture.leafs.Leafs(aService)[aLeaf]->Apply(notice, "request", fixture.clock.Now());
  };
  for (std::size_t shard = 0; shard < GatewayFixture::kShards; ++shard) {
    pause(GatewayFixture::Shard(shard), 0, milliseconds(4000));
    pause(GatewayFixture::Shard(shard), 1, milliseconds(2000));
  }
  pause("plain", 0, milliseconds(4000));
  pause("plain", 1, milliseconds(2000));
  fixture.timers.RunFor(milliseconds(500));
  fixture.SendRequest(path);
  REQUIRE(fixture.exchange.sent.empty());
  REQUIRE(fixture.replies.at(0).outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.replies[0].reason == std::string("leafs_paused"));
  REQUIRE(fixture.replies[0].retryAfter >= milliseconds(1500));
  REQUIRE(fixture.replies[0].retryAfter <= milliseconds(1875));
}

TEST_CASE("A pause is not shortened, and a new incarnation begins without one", "[pause]")
{
  GatewayFixture fixture;
  const Ref<LeafHandle> leaf = fixture.leafs.Leafs("plain")[0];
  LeafNotice notice;
  notice.pause = seconds(5);
  REQUIRE(leaf->Apply(notice, "request", fixture.clock.Now()).pauseBegan);
  notice.pause = milliseconds(100);
  REQUIRE_FALSE(leaf->Apply(notice, "request", fixture.clock.Now()).pauseBegan);
  leaf->Apply({}, "request", fixture.clock.Now());
  fixture.timers.RunFor(seconds(4));
  REQUIRE(leaf->Paused(fixture.clock.Now()));
  notice.pause = std::chrono::hours(24);
  leaf->Apply(notice, "request", fixture.clock.Now());
  fixture.timers.RunFor(seconds(4));
  REQUIRE(leaf->Paused(fixture.clock.Now()));
  LeafRegistration restarted = leaf->registration;
  restarted.startTimeMs = 9;
  fixture.leafs.Apply(restarted);
  for (const Ref<LeafHandle>& other : fixture.leafs.Leafs("plain")) {
    REQUIRE_FALSE(other->TurnsAway(fixture.clock.Now()));
  }
}

// Guards against a pause of one part of a split that moves its share to the other.
TEST_CASE("A split keeps its weights while a part pauses", "[pause][split]")
{
  GatewayFixture fixture;
  const Ref<RoutingState> state = GatewayFixture::MakeRouting(2);
  RouteSpec split = state->routes[1];
  split.name = "split";
  split.pathPrefix = "/split/";
  split.service.clear();
  split.split = { { "plain", 3 }, { "other", 1 } };
  state->routes.push_back(split);
  state->Index();
  fixture.gateway->SetRouting(state);
  fixture.AddLeaf("other-a", "other", "a");
  LeafNotice notice;
  notice.pause = seconds(60);
  fixture.leafs.Leafs("other")[0]->Apply(notice, "request", fixture.clock.Now());
  for (int i = 0; i < 400; ++i) {
    fixture.SendRequest("/split/x");
    fixture.timers.RunFor(milliseconds(20));
  }
  REQUIRE(fixture.exchange.sent.size() == 300);
  REQUIRE(fixture.exchange.CountSent("other-a") == 0);
}

TEST_CASE("Draining and withdrawn leafs get no new requests", "[drain]")
{
  GatewayFixture fixture;
  LeafRegistration draining = fixture.leafs.Leafs("plain")[0]->registration;
  draining.draining = true;
  fixture.leafs.Apply(draining);
  for (int i = 0; i < 20; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(20));
  }
  REQUIRE(fixture.exchange.CountSent("plain-a") == 0);
  fixture.leafs.Remove("plain-b");
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.replies.back().outcome == GatewayOutcome::kRefused);
}

TEST_CASE("A leaf whose address is now used by another service gets no requests", "[reuse]")
{
  GatewayFixture fixture;
  const Ref<RoutingState> routing = GatewayFixture::MakeRouting(2);
  routing->connectionLimits["other"] = 4;
  fixture.gateway->SetRouting(routing);
  LeafRegistration newOwner = fixture.leafs.Leafs("plain")[0]->registration;
  newOwner.id = "new-owner";
  newOwner.service = "other";
  fixture.leafs.Apply(newOwner);
  for (int i = 0; i < 10; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(20));
  }
  REQUIRE(fixture.exchange.CountSent("plain-a") == 0);
}

// Guards against running leafs that stay out of use for good: a node that starts reads the registrations in
// the order of their ids, which may put the crashed leaf of an address after the running one.
TEST_CASE("The latest registration of an address holds it, in whatever order they are read",
          "[reuse][recover]")
{
  const bool crashedFirst = GENERATE(true, false);
  GatewayFixture fixture;
  LeafRegistration crashed = fixture.leafs.Leafs("plain")[0]->registration;
  fixture.leafs.Remove("plain-a");
  fixture.leafs.Remove("plain-b");
  crashed.id = "crashed";
  crashed.revision = 100;
  LeafRegistration running = crashed;
  running.id = "running";
  running.revision = 110;
  fixture.leafs.Apply(crashedFirst ? crashed : running);
  fixture.leafs.Apply(crashedFirst ? running : crashed);
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.CountSent("running") == 1);
  fixture.leafs.Remove("crashed");
  fixture.timers.RunFor(milliseconds(20));
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.CountSent("running") == 2);
}

// Guards against a conclusion that outlives its cause: the entry that took an address over is removed again.
TEST_CASE("A leaf is used again when the later registration of its address is removed", "[reuse][recover]")
{
  GatewayFixture fixture;
  fixture.leafs.Remove("plain-b");
  LeafRegistration other = fixture.leafs.Leafs("plain")[0]->registration;
  other.id = "other-leaf";
  other.service = "shard0";
  other.revision = 50;
  fixture.leafs.Apply(other);
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.sent.empty());
  fixture.leafs.Remove("other-leaf");
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.CountSent("plain-a") == 1);
}

// Guards against entries of another writer that end the use of a running leaf by naming its address.
TEST_CASE("A registration for a service that the configuration does not name takes no address",
          "[reuse][foreign]")
{
  GatewayFixture fixture;
  fixture.leafs.Remove("plain-b");
  LeafRegistration foreign = fixture.leafs.Leafs("plain")[0]->registration;
  foreign.id = "foreign";
  foreign.service = "unknown";
  foreign.revision = 50;
  fixture.leafs.Apply(foreign);
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.CountSent("plain-a") == 1);
  const Ref<RoutingState> named = GatewayFixture::MakeRouting(2);
  named->connectionLimits["unknown"] = 4;
  fixture.gateway->SetRouting(named);
  fixture.timers.RunFor(milliseconds(20));
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.exchange.CountSent("plain-a") == 1);
}

TEST_CASE("A leaf that restarts under the same id does not inherit the previous state", "[reuse]")
{
  GatewayFixture fixture;
  const Ref<LeafHandle> previous = fixture.leafs.Leafs("plain")[0];
  LeafRegistration restarted = previous->registration;
  restarted.startTimeMs = 5;
  REQUIRE(fixture.leafs.Apply(restarted));
  REQUIRE(previous->withdrawn);
  REQUIRE(fixture.leafs.Leafs("plain").size() == 2);
}

TEST_CASE("Repeated requests of a service stay within the fleet's extra load limit", "[budget]")
{
  GatewayFixture fixture;
  // A failure does not exclude the leaf, so only the budget limits the repeated requests.
  fixture.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  constexpr int kRequests = 900; // 10 s at 90 requests a second
  constexpr double kBound = 0.2 * kRequests + 54;
  for (int i = 0; i < kRequests; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(11));
  }
  const double extra = static_cast<double>(fixture.exchange.sent.size()) - kRequests;
  REQUIRE(extra <= kBound);
}

TEST_CASE("A node's extra load limit decreases with its share of the fleet", "[budget]")
{
  GatewayFixture fixture;
  fixture.gateway->SetExtraLoadShare(0.1);
  // A failure does not exclude the leaf, so only the budget limits the repeated requests.
  fixture.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  for (int i = 0; i < 100; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(10));
  }
  REQUIRE(fixture.gateway->Stats().extraCalls <= 0.2 * 100 + 5.4);
}

TEST_CASE("A changed extra load limit applies to subsequent requests", "[budget][settings]")
{
  GatewayFixture fixture;
  GatewayOptions options;
  options.extraLoadRatio = 0;
  options.extraLoadSlack = 0;
  fixture.gateway->SetOptions(options);
  fixture.exchange.script = Always(LeafOutcome::kFailed, milliseconds(1));
  for (int i = 0; i < 100; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(10));
  }
  REQUIRE(fixture.gateway->Stats().extraCalls <= 1);
}

TEST_CASE("A request whose leafs are all unreachable is refused immediately", "[refusal][unreachable]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kNotSent, milliseconds(1));
  for (int i = 0; i < 5; ++i) {
    fixture.SendRequest("/one/x");
    fixture.timers.RunFor(milliseconds(10));
  }
  const std::size_t sent = fixture.exchange.sent.size();
  fixture.SendRequest("/one/x");
  REQUIRE(fixture.replies.back().outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.exchange.sent.size() == sent);
}

TEST_CASE("Concurrent calls that time out at a slow leaf do not extend its exclusion", "[unreachable][slow]")
{
  GatewayFixture fixture;
  const Ref<LeafHandle> leaf = fixture.leafs.Leafs("plain")[0];
  std::vector<std::unique_ptr<OutstandingCall>> calls;
  for (int i = 0; i < 8; ++i) {
    calls.push_back(std::make_unique<OutstandingCall>());
    leaf->condition.OnSend(*calls.back(), fixture.clock.Now());
  }
  const TimePoint sent = fixture.clock.Now();
  fixture.clock.Advance(milliseconds(400));
  for (int i = 0; i < 8; ++i) {
    leaf->condition.OnUnreachable(sent, fixture.clock.Now());
    fixture.clock.Advance(milliseconds(5));
  }
  REQUIRE_FALSE(leaf->condition.Excluded(fixture.clock.Now() + milliseconds(260)));
}

} // namespace yp
