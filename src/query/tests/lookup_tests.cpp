#include "fakeleafs.h"
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

/// \return whether all hits are of the version that the answer names
bool
OneVersion(const RequestAnswer& aAnswer)
{
  const std::string suffix = "@" + std::to_string(aAnswer.snapshot.indexVersion);
  return std::all_of(aAnswer.hits.begin(), aAnswer.hits.end(), [&](const Hit& aHit) {
    return aHit.document.size() > suffix.size() &&
           aHit.document.compare(aHit.document.size() - suffix.size(), suffix.size(), suffix) == 0;
  });
}

} // namespace

// Guards against mixed versions in the first answer of a node that knows nothing of its leafs.
TEST_CASE("a cold start learns the versions and answers from one of them")
{
  FakeNode node(MakeService(8));
  for (int shard = 0; shard < 8; ++shard) {
    for (int replica = 0; replica < 2; ++replica) {
      const std::string name = "1." + std::to_string(shard) + "." + std::to_string(replica);
      node.leafs.leafs[name].versions = { 3 };
      if (shard % 2 == 0) {
        node.leafs.leafs[name].versions.insert(4);
      }
    }
  }
  const RequestAnswer answer = node.Lookup();
  CHECK(answer.outcome == RequestOutcome::kAnswered);
  CHECK(answer.coverage.Complete());
  CHECK(answer.snapshot.indexVersion == 3);
  CHECK(OneVersion(answer));
}

// Guards against a query that loses its coverage when the pinned version disappears.
TEST_CASE("a pinned version that is gone makes the query plan anew as a whole")
{
  FakeNode node(MakeService(6));
  REQUIRE(node.Lookup().coverage.Complete());
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.versions = { 2 };
  }
  const RequestAnswer answer = node.Lookup();
  CHECK(answer.outcome == RequestOutcome::kAnswered);
  CHECK(answer.coverage.Complete());
  CHECK(answer.snapshot.indexVersion == 2);
  CHECK(OneVersion(answer));
  CHECK(node.node->Stats().replans > 0);
}

// Guards against parts of another request, shard or version in an answer.
TEST_CASE("crossed and wrong-version replies are not merged")
{
  FakeNode node(MakeService(4));
  REQUIRE(node.Lookup().coverage.Complete());
  const std::uint64_t broken = BrokenInvariants();
  int kind = 0;
  node.leafs.onReply = [&](const LeafAttempt& aAttempt, LeafReply& aReply) {
    if (aAttempt.leaf->shard != 2) {
      return;
    }
    switch (kind) {
      case 0:
        aReply.id += 1;
        break;
      case 1:
        aReply.shard = 3;
        break;
      case 2:
        aReply.layout = 9;
        break;
      case 3:
        aReply.indexVersion = 7;
        break;
      default:
        aReply.body = R"({"hits":[{"document":3}]})";
        break;
    }
  };
  for (kind = 0; kind < 5; ++kind) {
    const RequestAnswer answer = node.Lookup();
    CHECK(answer.outcome == RequestOutcome::kAnswered);
    CHECK(answer.coverage.covered == 30);
    CHECK(answer.coverage.total == 40);
    CHECK(answer.hits.size() == 3);
  }
  CHECK(node.node->Stats().mismatchedReplies >= 5);
  CHECK(BrokenInvariants() == broken);
}

// Guards against a shard that counts twice when both the hedge and the first attempt reply.
TEST_CASE("duplicate and late parts count once or not at all")
{
  QueryOptions options;
  options.limitExtraLoad = false;
  options.hedgePolicy = HedgePolicy::kFixed;
  options.fixedHedgeDelay = 10ms;
  FakeNode node(MakeService(4), options);
  node.leafs.ignoreCancel = true;
  REQUIRE(node.Lookup().coverage.Complete());
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.latency = 15ms;
  }
  const RequestAnswer answer = node.Lookup();
  CHECK(answer.coverage.Complete());
  CHECK(answer.hits.size() == 4);
  CHECK(node.node->Stats().hedges > 0);
  const std::size_t answers = node.answers.size();
  node.timers.RunFor(1s);
  CHECK(node.answers.size() == answers);
  CHECK(node.node->Stats().droppedReplies > 0);
}

// Guards against a straggler that holds back an answer, and against hedges past the budget.
TEST_CASE("a straggler is hedged within the budget")
{
  FakeNode node(MakeService(20));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(node.Lookup().coverage.Complete());
  }
  node.leafs.leafs["1.7.0"].latency = 150ms;
  for (int i = 0; i < 50; ++i) {
    const TimePoint start = node.clock.Now();
    REQUIRE(node.Lookup().coverage.Complete());
    CHECK(node.clock.Now() - start < 60ms);
  }
  const QueryStats& stats = node.node->Stats();
  const std::uint64_t extra = stats.hedges + stats.retries + stats.probes;
  CHECK(extra * 100 <= stats.firstAttempts * 5 + 100);
}

// Guards against added load when no leaf is better than another.
TEST_CASE("extra load stays within ten percent when all leafs are slow or all shed")
{
  const bool shed = GENERATE(false, true);
  FakeNode node(MakeService(20));
  node.extraLoadPercent = 10;
  node.Declare(node.state->FindService("kiosk"));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(node.Lookup().coverage.Complete());
  }
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.latency = 80ms;
    leaf.shed = shed;
  }
  const QueryStats& stats = node.node->Stats();
  const std::uint64_t first = stats.firstAttempts;
  const std::uint64_t extra = stats.hedges + stats.retries + stats.probes;
  for (int i = 0; i < 50; ++i) {
    node.Lookup();
  }
  const std::uint64_t added = stats.hedges + stats.retries + stats.probes - extra;
  // The window of the hard cap also holds first attempts from before the change.
  CHECK(added * 100 <= (stats.firstAttempts - first) * 10 + 50 * 20 * 10);
  CHECK(added * 100 <= stats.firstAttempts * 10);
}

// Guards against lost coverage when one replica of each shard is lost.
TEST_CASE("lost replicas are replaced by the others and excluded")
{
  FakeNode node(MakeService(10));
  REQUIRE(node.Lookup().coverage.Complete());
  for (int shard = 0; shard < 10; ++shard) {
    node.leafs.leafs["1." + std::to_string(shard) + ".0"].refuse = true;
  }
  for (int i = 0; i < 40; ++i) {
    CHECK(node.Lookup().coverage.Complete());
  }
  const std::uint64_t before = node.leafs.leafs["1.0.0"].received;
  for (int i = 0; i < 40; ++i) {
    node.Lookup();
  }
  CHECK(node.leafs.leafs["1.0.0"].received <= before + 2);
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.refuse = false;
  }
  for (int i = 0; i < 400; ++i) {
    node.timers.RunFor(100ms);
    CHECK(node.Lookup().coverage.Complete());
  }
  CHECK(node.leafs.leafs["1.0.0"].received > before + 50);
}

// Guards against new work for a server that is leaving.
TEST_CASE("leafs that drain or whose server leaves get no new work")
{
  FakeNode node(MakeService(6));
  REQUIRE(node.Lookup().coverage.Complete());
  node.leafs.leafs["1.3.1"].draining = true;
  node.node->SetLeavingServers({ "server0" });
  const std::uint64_t before = node.leafs.leafs["1.2.0"].received;
  for (int i = 0; i < 20; ++i) {
    const RequestAnswer answer = node.Lookup();
    CHECK(answer.coverage.covered == 50);
    CHECK_FALSE(answer.coverage.Complete());
  }
  CHECK(node.leafs.leafs["1.2.0"].received == before);
  CHECK(node.leafs.leafs["1.3.1"].received <= 2);
}

// Guards against answers that mix layouts while data is repartitioned.
TEST_CASE("queries stay whole while a service is repartitioned")
{
  FakeNode node(MakeService(4));
  REQUIRE(node.Lookup().coverage.Complete());
  Ref<ServiceSpec> both = MakeService(4);
  AddLayout(*both, 2, 8, 2);
  node.Declare(both);
  for (int i = 0; i < 300; ++i) {
    const RequestAnswer answer = node.Lookup();
    REQUIRE(answer.coverage.Complete());
    REQUIRE(answer.hits.size() == (answer.snapshot.layout == 1 ? 4 : 8));
  }
  CHECK(node.Lookup().snapshot.layout == 2);
  Ref<ServiceSpec> after(new ServiceSpec());
  after->name = "kiosk";
  after->slots = 2;
  AddLayout(*after, 2, 8, 2);
  node.Start();
  node.Declare(after);
  node.timers.RunFor(1s);
  CHECK(node.answers.back().coverage.Complete());
  CHECK(node.Lookup().snapshot.layout == 2);
}

// Guards against work on old state after a pause: nothing is sent and no answer is given as in time.
TEST_CASE("after a pause nothing is sent for requests whose deadline passed")
{
  FakeNode node(MakeService(6));
  REQUIRE(node.Lookup().coverage.Complete());
  const std::uint64_t sent = node.leafs.sent;
  node.Start();
  CHECK(node.leafs.sent == sent + 6);
  node.clock.Advance(2s);
  node.timers.RunFor(1s);
  CHECK(node.answers.back().outcome == RequestOutcome::kUnknown);
  CHECK(node.answers.back().reason == RequestReason::kDeadline);
  CHECK(node.leafs.sent == sent + 6);
  CHECK(node.leafs.sentLate == 0);
  CHECK(node.leafs.OpenCount() == 0);
}

// Guards against a claim that nothing ran while a leaf may have run it, and the reverse.
TEST_CASE("not run is said only when no leaf can have run the request")
{
  FakeNode node(MakeService(3));
  for (int shard = 0; shard < 3; ++shard) {
    node.leafs.leafs["1." + std::to_string(shard) + ".0"].refuse = true;
    node.leafs.leafs["1." + std::to_string(shard) + ".1"].refuse = true;
  }
  const RequestAnswer refused = node.Lookup();
  CHECK(refused.outcome == RequestOutcome::kNotRun);
  CHECK(node.Ran() == 0);
  FakeNode silent(MakeService(3));
  REQUIRE(silent.Lookup().coverage.Complete());
  for (auto& [name, leaf] : silent.leafs.leafs) {
    leaf.silent = true;
  }
  CHECK(silent.Lookup().outcome == RequestOutcome::kUnknown);
  silent.timers.RunFor(300ms);
  CHECK(silent.leafs.OpenCount() == 0);
}

// Guards against a late whole answer for a caller that prefers a partial one in time.
TEST_CASE("the caller's policy decides between early and whole")
{
  FakeNode node(MakeService(20, 1));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(node.Lookup().coverage.Complete());
  }
  node.leafs.leafs["1.4.0"].latency = 150ms;
  TimePoint start = node.clock.Now();
  const RequestAnswer early = node.Lookup("screen");
  CHECK(early.outcome == RequestOutcome::kAnswered);
  CHECK(early.coverage.covered == 190);
  CHECK(node.clock.Now() - start < 60ms);
  const RequestAnswer whole = node.Lookup("orders");
  CHECK(whole.coverage.Complete());
}

// Guards against work for a caller that has gone.
TEST_CASE("abandoning a lookup cancels its attempts and drops its answer")
{
  FakeNode node(MakeService(6));
  REQUIRE(node.Lookup().coverage.Complete());
  const std::size_t answers = node.answers.size();
  const auto handle = node.Start();
  node.engine->Abandon(handle);
  CHECK(node.engine->InFlight() == 0);
  node.timers.RunFor(1s);
  CHECK(node.leafs.cancelled == 6);
  CHECK(node.answers.size() == answers);
}

// Guards against an overloaded node that fails all callers, or lets one caller lock out the other.
TEST_CASE("a node sheds early and by share")
{
  QueryOptions options;
  options.maxInFlight = 20;
  FakeNode node(MakeService(2), options);
  REQUIRE(node.Lookup().coverage.Complete());
  node.answers.clear();
  for (int i = 0; i < 40; ++i) {
    node.Start("screen");
  }
  CHECK(node.engine->InFlight() == 40);
  node.Start("orders");
  node.timers.RunFor(1ms);
  const std::size_t shed = node.answers.size();
  CHECK(shed >= 20);
  for (const RequestAnswer& answer : node.answers) {
    CHECK(answer.outcome == RequestOutcome::kNotRun);
    CHECK(answer.reason == RequestReason::kOverload);
  }
  node.timers.RunFor(1s);
  for (int i = 0; i < 40; ++i) {
    node.Start("screen");
    node.Start("orders");
  }
  node.answers.clear();
  node.timers.RunFor(1s);
  CHECK(node.node->Stats().sheds > shed);
}

// Guards against more attempts at a leaf than its adaptive limit, and against parts forgotten in the queue.
TEST_CASE("parts wait for room at their leafs and are all answered")
{
  FakeNode node(MakeService(2, 1));
  REQUIRE(node.Lookup().coverage.Complete());
  for (int i = 0; i < 20; ++i) {
    node.Start("orders");
  }
  CHECK(node.leafs.OpenCount() <= 2 * 2 * 4);
  node.answers.clear();
  node.timers.RunFor(1s);
  CHECK(node.answers.size() == 20);
  for (const RequestAnswer& answer : node.answers) {
    CHECK(answer.coverage.Complete());
  }
}

// Guards against a node that refuses its callers because one shard of many has lost its replicas.
TEST_CASE("a lost shard does not lower the node's admission of lookups")
{
  QueryOptions options;
  options.maxInFlight = 200;
  FakeNode node(MakeService(8, 1), options);
  REQUIRE(node.Lookup().coverage.Complete());
  node.leafs.leafs["1.0.0"].silent = true;
  for (int i = 0; i < 400; ++i) {
    node.Start("orders");
    node.timers.RunFor(5ms);
  }
  CHECK(node.node->Stats().sheds == 0);
}

// Guards against an endless search for a waiter when the room at a leaf is gone again.
TEST_CASE("many parts wait at leafs whose limit has dropped, and the engine goes on")
{
  FakeNode node(MakeService(2, 1));
  REQUIRE(node.Lookup().coverage.Complete());
  for (int i = 0; i < 60; ++i) {
    node.Start("orders");
  }
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.shed = true;
  }
  node.timers.RunFor(30ms);
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.shed = false;
  }
  node.timers.RunFor(1s);
  CHECK(node.answers.size() == 61);
  CHECK(node.engine->InFlight() == 0);
}
